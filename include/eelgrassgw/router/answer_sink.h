#pragma once

/// Sinks that deliver the output of a run to a caller.

#include "eelgrassgw/transport/http_server.h"

#include <cstddef>
#include <string>

namespace eelgrassgw {

/// Collects the whole output of a run in memory.
class collecting_sink {
public:
    explicit collecting_sink(http_exchange& exchange) : exchange_(exchange) {}

    bool accept(const std::string& text) {
        text_ += text;
        return is_alive();
    }
    bool is_alive() { return !exchange_.is_peer_disconnected(); }
    const std::string& text() const { return text_; }

private:
    http_exchange& exchange_;
    std::string text_;
};

/// Sends OpenAI-style server-sent events as output arrives. The stream starts with the first output, so that
/// an error before it can still be sent with its own HTTP status.
class event_stream_sink {
public:
    /// `offset` is the offset of the first output byte, as announced in the events.
    event_stream_sink(http_exchange& exchange, std::string request_id, std::string model, std::size_t offset)
        : exchange_(exchange), request_id_(std::move(request_id)), model_(std::move(model)), offset_(offset) {
    }

    /// Sends `text` as one event. Returns false if the caller has disconnected.
    bool accept(const std::string& text);
    bool is_alive() { return !exchange_.is_peer_disconnected(); }
    bool has_begun() const { return begun_; }

    /// Sends the final event with the token usage, then the end marker.
    void finish(const std::string& finish_reason, long long prompt_tokens, long long completion_tokens);

    /// Ends the stream with an error event and without the end marker.
    void fail(const std::string& error_json);

private:
    /// Sends the response headers unless they were sent already.
    bool begin_stream();
    bool send_event(const std::string& data);

    http_exchange& exchange_;
    std::string request_id_;
    std::string model_;
    std::size_t offset_;
    bool begun_ = false;
};

} // namespace eelgrassgw
