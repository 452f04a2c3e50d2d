#pragma once

/// A stand-in for the platform's store: objects by kind and name, conditional writes, lists in pages,
/// watches.

#include "eelgrassgw/base/json.h"
#include "net/http_service.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Faults are fields that a test sets at any time. Not thread-safe.
class platform_store_stand_in {
public:
    explicit platform_store_stand_in(asio::io_context& context, std::string address);

    const std::string& address() const { return address_; }

    /// Creates or replaces an object as the operator or a server would.
    void put(const std::string& kind, const std::string& name, const Json::Value& spec);
    void remove(const std::string& kind, const std::string& name);

    /// The `spec` of an object; null where there is none.
    Json::Value spec(const std::string& kind, const std::string& name) const;

    bool silent = false;             ///< Calls get no answer.
    bool busy = false;               ///< Calls get 503.
    int lose_next_write_answers = 0; ///< So many writes are done, and not answered.
    bool history_gone = false;       ///< The next watch of each kind gets 410.
    std::size_t page_size = 500;     ///< Objects a page.
    int calls = 0;

private:
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        Json::Value object;
        bool deleted = false;
    };

    task<text_reply> answer(text_request request);
    task<text_reply> watch(std::string kind, std::uint64_t since, std::chrono::milliseconds wait);
    text_reply list(const std::string& kind, const std::string& after) const;
    text_reply read(const std::string& kind, const std::string& name) const;
    text_reply write(const std::string& kind, const std::string& name, const Json::Value& object,
                     bool create);
    Json::Value store(const std::string& kind, const std::string& name, const Json::Value& spec);

    std::string address_;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, Json::Value>> kinds_;
    std::vector<event> events_;
};

} // namespace eelgrassgw
