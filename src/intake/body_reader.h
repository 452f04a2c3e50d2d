#pragma once

/// Reads the bodies of requests and counts their bytes as they arrive.

#include "intake/intake_guard.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

namespace eelgrassgw {

/// Reads the rest of a request whose head `parser` has read. `buffer` holds the bytes that were read and not
/// parsed yet, also those after the request. Returns the error that ended the body; operation_aborted if the
/// connection lost its place. Precondition: all arguments outlive the task.
task<net_error> read_body(tcp::socket& socket, boost::beast::flat_buffer& buffer,
                          http::request_parser<http::string_body>& parser, intake_place& place);

} // namespace eelgrassgw
