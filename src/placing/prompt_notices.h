#pragma once

/// Exchanges notices between routers about long prompts that backend servers still have to read.

#include "backends/backend_directory.h"
#include "eelgrassgw/base/failure.h"
#include "net/notice_channel.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace eelgrassgw {

/// Sends notices of this router's long prompts to the other routers, and receives theirs. Without notices, a
/// prompt of tens of thousands of tokens delays the requests that other routers send to the same server by
/// about a second. Losing a notice only makes the choice of a server worse. Not thread-safe.
class prompt_notices {
public:
    using clock = tracked_backend::clock;

    /// Size from which a prompt is announced; shorter prompts cause no noticeable delay.
    static constexpr std::int64_t min_announced_tokens = 4000;

    /// Size beyond which a notice is not credible. The sum of many such prompts still fits a counter.
    static constexpr std::int64_t max_announced_tokens = 1'000'000'000;

    /// Time after which a received notice expires.
    static constexpr std::chrono::milliseconds notice_lifetime{2500};

    /// `router` identifies this process in its notices. Precondition: the references outlive this object.
    prompt_notices(notice_channel& channel, backend_directory& directory, std::string router);

    /// Notifies the other routers that `server` has a prompt of `tokens` to read. Returns the notice number,
    /// which `withdraw` requires.
    std::uint64_t announce(const std::string& server, std::int64_t tokens);

    /// Notifies the other routers that the announced prompt has been read or is no longer going to be read.
    void withdraw(const std::string& server, std::uint64_t number);

    /// Has `handler` called after a notice has withdrawn a prompt, which makes room at its server.
    void set_room_handler(std::function<void()> handler) { room_handler_ = std::move(handler); }

    /// Handles a received notice. Fails with a description of the fault if the notice is malformed.
    result<done> handle_notice(const Json::Value& notice, clock::time_point now);

private:
    void send_notice(const std::string& server, std::uint64_t number, std::int64_t tokens);

    notice_channel& channel_;
    backend_directory& directory_;
    std::string router_;
    std::function<void()> room_handler_; ///< May be empty.
    std::uint64_t last_number_ = 0;      ///< Number of the last notice that announced a prompt.
};

/// Counts a prompt as unread at its server, and announces it to the other routers if it is long, until
/// `mark_read` is called or this object is destroyed. Measures the server's speed from the events of the
/// answer.
class unread_prompt {
public:
    using clock = tracked_backend::clock;

    /// `shared_part` is the last part of the prompt that other requests share; it may be empty. `held_tokens`
    /// is the largest number of tokens that the request can hold in the server's memory.
    /// Precondition: `notices` outlives this object.
    unread_prompt(prompt_notices& notices, std::shared_ptr<tracked_backend> server, std::int64_t tokens,
                  std::string shared_part = {}, std::int64_t held_tokens = 0,
                  clock::time_point sent_at = clock::now());
    ~unread_prompt();
    unread_prompt(const unread_prompt&) = delete;
    unread_prompt& operator=(const unread_prompt&) = delete;

    /// Records that the server has read the prompt, which its first event shows.
    void mark_read();

    /// Notes that an event of the answer has arrived.
    void note_event(clock::time_point now);

    /// Notes that the whole answer of a request without a prompt has arrived.
    void note_answer(clock::time_point now);

private:
    prompt_notices& notices_;
    std::shared_ptr<tracked_backend> server_;
    std::int64_t tokens_;
    std::string shared_part_;
    std::int64_t held_tokens_;
    clock::time_point sent_at_;
    std::int64_t tokens_before_event_; ///< Tokens that the server had to read before the first event.
    bool is_measurable_; ///< Whether that number is exact: not if the server may have read the shared part.
    std::optional<clock::time_point> last_event_at_;
    std::optional<std::uint64_t> notice_number_; ///< Number of the notice; empty if none is in force.
};

} // namespace eelgrassgw
