#pragma once

/// Parses the replies of servers, for all HTTP clients of the project, and rejects what is no HTTP/1.1.

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace eelgrassgw {

/// Returns whether a reply with `status` is an interim one, which the final reply follows.
constexpr bool is_interim(unsigned status) {
    constexpr unsigned lowest_final_status = 200;
    return status < lowest_final_status;
}

/// Parses one reply. The library's parser rejects field names that are no tokens, blanks before a colon and
/// lengths that differ, in heads and in trailers. This class also rejects
///
/// - a status outside of 100 to 599, which HTTP (RFC 9110, section 15) calls invalid: a client treats such an
///   answer like a server error and must not pass the status on;
/// - status 101, since no client here asks for another protocol;
/// - a transfer coding other than "chunked", since no client here asks for one or could undo it.
///
/// It discards the fields of a trailer: they come after the head has been judged, and must not change what it
/// says. An error is found as soon as its line has been read. Not thread-safe.
template <class Body>
class reply_parser : public boost::beast::http::response_parser<Body> {
    using string_view = boost::beast::string_view;
    using error = boost::beast::http::error;
    using error_code = boost::beast::error_code;

    static constexpr int lowest_status = 100;
    static constexpr int highest_status = 599;
    static constexpr int switching_protocols = 101;

    void on_response_impl(int status, string_view reason, int version, error_code& ec) override {
        if (status < lowest_status || status > highest_status || status == switching_protocols) {
            ec = error::bad_status;
            return;
        }
        auto& head = this->get().base();
        head.result(static_cast<unsigned>(status));
        head.version(static_cast<unsigned>(version));
        head.reason(reason);
    }

    void on_field_impl(boost::beast::http::field name, string_view name_text, string_view value,
                       error_code& ec) override {
        if (name == boost::beast::http::field::transfer_encoding &&
            !boost::beast::iequals(value, "chunked")) {
            ec = error::bad_transfer_encoding;
            return;
        }
        if (!this->is_header_done()) {
            this->get().base().insert(name, name_text, value);
        }
    }
};

} // namespace eelgrassgw
