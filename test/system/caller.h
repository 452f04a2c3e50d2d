#pragma once

/// Callers of a fleet, and what they saw.

#include "test/system/fleet.h"

#include <mutex>

namespace eelgrassgw::test {

/// One answer, as its caller saw it.
struct observation {
    std::string kind; ///< "chat", "book" or "position".
    std::string request_id;
    std::string prompt;
    int status = 0; ///< 0: no answer came.
    bool whole = false;
    std::string text; ///< Of a chat's answer, also where it broke off.
    std::string code; ///< Of an error.
    std::string ran;  ///< "no", "unknown" or "yes" as an error said.
    bool safe_to_repeat = true;
    std::int64_t sent_at_ms = 0;
};

/// Sends requests and notes every answer. Thread-safe.
class caller {
public:
    explicit caller(const fleet& target) : fleet_(target) {}

    observation chat(const std::string& router, const std::string& prompt, const std::string& key,
                     bool stream);
    /// Goes on with an earlier streamed chat from `offset` bytes of its text.
    observation resume(const std::string& router, const std::string& prompt, const std::string& key,
                       std::size_t offset);
    observation book(const std::string& router, const std::string& key);
    observation position(const std::string& router);

    /// Any call without a body.
    observation call(const std::string& router, const std::string& method, const std::string& path,
                     const std::string& key);

    /// Repeats with the same key at each router in turn until there is a final answer or `longest` is over.
    observation chat_until_final(const std::string& prompt, const std::string& key, bool stream,
                                 std::chrono::milliseconds longest);
    observation book_until_final(const std::string& key, std::chrono::milliseconds longest);

    std::vector<observation> seen() const;

private:
    http_request make_chat(const std::string& prompt, const std::string& key, bool stream) const;
    http_request make_request(const std::string& method, const std::string& path,
                              const std::string& key) const;
    observation send(const std::string& router, const http_request& request, observation noted);
    observation send_streamed(const std::string& router, const http_request& request, observation noted);
    observation note(observation noted);
    std::string router_number(std::size_t i) const;

    const fleet& fleet_;
    mutable std::mutex mutex_;
    std::vector<observation> seen_;
};

/// The request id of `key`, as every router makes it.
std::string id_of_key(const fleet& target, const std::string& key);

} // namespace eelgrassgw::test
