#pragma once

/// Sends requests to the routers of a fleet and records what each caller received.

#include "test/system/fleet.h"

#include <mutex>

namespace eelgrassgw::test {

/// Holds what a caller received for one request.
struct observation {
    std::string kind; ///< Kind of the request: "chat", "resume", "book", "position" or "call".
    std::string request_id;
    std::string prompt;
    int status = 0;              ///< HTTP status of the answer, or 0 if the router sent no answer.
    bool is_complete = false;    ///< Whether the complete answer arrived without an error.
    std::string text;            ///< Text of the answer; for a stream that broke off, the part that arrived.
    std::string code;            ///< Error code, or empty if the answer holds no error.
    std::string ran;             ///< The field "ran" of an error: "no", "unknown" or "yes".
    bool safe_to_repeat = true;  ///< The field "safe_to_repeat" of an error.
    std::int64_t sent_at_ms = 0; ///< Unix time at which the request was sent.
};

/// Sends requests and records every answer. This class is thread-safe.
class caller {
public:
    explicit caller(const fleet& target) : fleet_(target) {}

    observation chat(const std::string& router, const std::string& prompt, const std::string& key,
                     bool stream);
    /// Resumes an earlier streamed chat after the first `offset` bytes of its text.
    observation resume(const std::string& router, const std::string& prompt, const std::string& key,
                       std::size_t offset);
    observation book(const std::string& router, const std::string& key);
    observation get_position(const std::string& router);

    /// Sends a request without a body.
    observation call(const std::string& router, const std::string& method, const std::string& path,
                     const std::string& key);

    /// Repeats a request with the same key at each router in turn, until a final answer arrives or `timeout`
    /// expires. Returns the last answer.
    observation chat_until_final(const std::string& prompt, const std::string& key, bool stream,
                                 std::chrono::milliseconds timeout);
    observation book_until_final(const std::string& key, std::chrono::milliseconds timeout);

    std::vector<observation> observations() const;

private:
    http_request make_chat(const std::string& prompt, const std::string& key, bool stream) const;
    http_request make_request(const std::string& method, const std::string& path,
                              const std::string& key) const;
    observation send(const std::string& router, const http_request& request, observation observed);
    observation send_streamed(const std::string& router, const http_request& request, observation observed);
    observation record(observation observed);
    std::string router_name_at(std::size_t i) const;

    const fleet& fleet_;
    mutable std::mutex mutex_;
    std::vector<observation> observations_;
};

/// Returns the request id that every router derives from the customer and `key`.
std::string request_id_for_key(const fleet& target, const std::string& key);

} // namespace eelgrassgw::test
