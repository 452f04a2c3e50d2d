#pragma once

/// A fake of the platform's store for tests. It keeps objects by kind and name, and supports conditional
/// writes, paged lists and watches.

#include "eelgrassgw/base/json.h"
#include "net/http_service.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassgw {

/// Serves the store over HTTP. A test injects faults by setting the public fields, at any time. Not
/// thread-safe.
class platform_store_stand_in {
public:
    explicit platform_store_stand_in(asio::io_context& context, std::string address);

    const std::string& address() const { return address_; }

    /// Creates or replaces an object, as an operator or a backend server would.
    void put(const std::string& kind, const std::string& name, const Json::Value& spec);

    /// Writes an object whose spec is this text, which need not be one that a parser accepts.
    void put_text(const std::string& kind, const std::string& name, std::string spec);

    /// Writes `text`, which need not be one that a parser accepts, wherever an answer has this name of an
    /// object.
    void write_name_as(const std::string& name, std::string text);

    /// Removes an object. Precondition: the object exists.
    void remove(const std::string& kind, const std::string& name);

    /// Keeps a copy of all objects, as the platform does from time to time.
    void take_copy();

    /// Restores the last copy: what was written since is forgotten, revisions are given out again from there,
    /// and the era rises by one.
    void restore_copy();

    /// Returns the `spec` of an object; null if the object does not exist.
    Json::Value spec(const std::string& kind, const std::string& name) const;

    bool silent = false;                ///< True if calls get no answer.
    bool busy = false;                  ///< True if calls get status 503.
    bool hanging_watches = false;       ///< True if watches get no answer; lists and writes do.
    std::string unanswered_kind;        ///< Kind whose lists and watches get no answer; empty for none.
    int write_answers_to_lose = 0;      ///< Number of writes to apply without an answer.
    bool watch_history_expired = false; ///< True if the next watch gets status 410.
    std::size_t page_size = 500;        ///< Largest number of objects in a page of a list.
    int calls = 0;                      ///< Number of calls that have arrived.

private:
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        Json::Value object;
        bool deleted = false;
    };

    /// The objects and the history of the store.
    struct contents {
        std::uint64_t revision = 1;
        std::map<std::string, std::map<std::string, Json::Value>> kinds;
        std::vector<event> events;
    };

    task<text_reply> answer(text_request request);
    task<text_reply> answer_without_era(text_request request);
    task<text_reply> watch(std::string kind, std::uint64_t since_revision, std::chrono::milliseconds wait);
    text_reply list(const std::string& kind, const std::string& after_name) const;
    text_reply read(const std::string& kind, const std::string& name) const;
    text_reply write(const std::string& kind, const std::string& name, const Json::Value& object,
                     bool create);
    Json::Value store(const std::string& kind, const std::string& name, const Json::Value& spec);

    void insert_texts(std::string& body) const;

    std::string address_;
    /// What the answers would hold, and the texts that stand there instead.
    std::vector<std::pair<std::string, std::string>> texts_;
    std::uint64_t era_ = 1;
    contents now_;
    contents copy_;
};

} // namespace eelgrassgw
