#pragma once

/// Decides whether the answer of a backend server ended whole. Needs no network.

#include <optional>
#include <string>

namespace eelgrassgw {

/// How a reply marks the end of its body.
enum class body_framing {
    length,         ///< The head states the length, or that there is no body.
    chunked,        ///< The last chunk ends the body.
    connection_end, ///< The body ends with its connection.
};

/// Returns the name of a framing in the log.
const char* name_of(body_framing framing);

/// What is known about the end of a reply's body.
struct body_end {
    body_framing framing = body_framing::length;

    /// Why reading ended before the end that the framing marks; empty if that end was reached.
    std::string read_error;

    /// Whether the server closed or reset the connection while the request was being written. The error was
    /// reported to the writer, so the reader saw a regular end of the connection.
    bool upload_was_cut = false;
};

/// What is known about the events of a stream at its end.
struct stream_end {
    bool inside_event = false;   ///< Whether bytes of an incomplete event came last.
    bool has_new_events = false; ///< Whether the reply had an event.
};

/// Returns why an answer that has ended is not whole; an empty string if it is whole. `events` is present for
/// a stream. An answer that only the end of its connection marks is whole if the server ended its side of the
/// connection in order and did not close it under an unfinished upload; a stream is then also one that has
/// begun. Thread-safe.
std::string find_end_fault(const body_end& body, const std::optional<stream_end>& events = std::nullopt);

} // namespace eelgrassgw
