#pragma once

/// Decides which connections a process can afford. Needs no network.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace eelgrassgw {

/// What a process may hold for its connections.
struct intake_limits {
    std::size_t max_bytes = 0;       ///< Bytes of requests, answers and the connections themselves.
    std::size_t max_connections = 0; ///< Connections of callers, and of their requests to servers.
};

/// What a connection is doing.
enum class place_state {
    idle,    ///< No request has begun to arrive.
    reading, ///< A request is arriving.
    serving, ///< A whole request was read and must be answered.
    sending, ///< An answer is written and not taken by the other side yet.
    closing, ///< The connection has lost its place and counts no more.
};

/// What kind of peers a connection is for. Control connections are taken from the reserved descriptors.
enum class place_kind { caller, control };

/// Counts what each connection holds, and chooses the connection that loses its place when a limit is
/// exceeded. Not thread-safe.
class intake_ledger {
public:
    using clock = std::chrono::steady_clock;
    using place_id = std::uint64_t;

    /// Memory of a connection without a request: its task, socket and first buffer. Measured: 6 KB.
    static constexpr std::size_t connection_bytes = 8U << 10U;
    /// Additional memory of a request that is served: its tasks, the reply's parser and buffers, log fields.
    static constexpr std::size_t serving_bytes = 16U << 10U;
    /// Places that hold no more than this may use the reserve for small requests.
    static constexpr std::size_t small_place_bytes = 64U << 10U;
    /// Part of `max_bytes` that is added for small requests, so that a few large ones cannot shut them out.
    static constexpr std::size_t small_reserve_divisor = 8;
    /// Half of the time over which progress counts as recent.
    static constexpr std::chrono::milliseconds progress_slot{500};
    /// Age below which a request that arrives loses its place only if no older one can.
    static constexpr std::chrono::milliseconds newcomer_time{500};
    /// Time without progress after which an answer may be broken off. Shorter pauses are usual on slow links.
    static constexpr std::chrono::milliseconds stalled_answer_time{1000};
    /// Largest number of control connections; half of the descriptors that are reserved.
    static constexpr std::size_t max_control_connections = 100;

    explicit intake_ledger(intake_limits limits) : limits_(limits) {}

    /// Adds an idle connection.
    place_id add(place_kind kind, clock::time_point now);

    /// Removes a connection. Precondition: it was added and not removed.
    void remove(place_id id);

    /// Changes what the connection is doing and what it holds beyond its own memory. Precondition: it was
    /// added.
    void set_state(place_id id, place_state state, std::size_t held_bytes, clock::time_point now);

    /// Changes what the connection holds beyond its own memory. Precondition: it was added.
    void set_held(place_id id, std::size_t held_bytes);

    /// Records that bytes of the request or of the answer moved. Precondition: the connection was added.
    void note_progress(place_id id, std::size_t bytes, clock::time_point now);

    /// Returns the connection to close because the bytes exceed the limit; nothing if they do not, or if no
    /// connection may be closed. It is the one with the least recent progress among the requests that arrive
    /// and the answers that are stalled, without those that hold little in comparison; then one that is idle.
    std::optional<place_id> choose_for_memory(clock::time_point now) const;

    /// Returns the connection to close so that one more of `kind` can be opened; nothing if there is no need,
    /// or if no connection may be closed. It is the one that has been idle longest; then as above.
    std::optional<place_id> choose_for_connection(place_kind kind, std::size_t other_connections,
                                                  clock::time_point now) const;

    /// Returns the connection to close because those of callers and servers exceed the limit; nothing if they
    /// do not, or if no connection may be closed. It is chosen as above.
    std::optional<place_id> choose_for_server_connection(std::size_t other_connections,
                                                         clock::time_point now) const;

    /// Returns whether the connections of callers and servers stay within the limit.
    bool fits_connections(std::size_t other_connections) const {
        return callers_ + other_connections <= limits_.max_connections;
    }

    /// Returns whether one more connection of `kind` can be opened. `other_connections` are open besides
    /// those of the ledger.
    bool has_room_for_connection(place_kind kind, std::size_t other_connections) const;

    /// Returns whether the connection may hold what it does.
    bool fits(place_id id) const;

    /// Returns what a connection is doing. Precondition: it was added.
    place_state state_of(place_id id) const { return places_.at(id).state; }

    /// Returns what kind a connection is. Precondition: it was added.
    place_kind kind_of(place_id id) const { return places_.at(id).kind; }

    std::size_t bytes() const { return bytes_; }
    std::size_t connections() const { return places_.size(); }
    const intake_limits& limits() const { return limits_; }

private:
    struct place {
        place_kind kind = place_kind::caller;
        place_state state = place_state::idle;
        std::size_t bytes = connection_bytes;
        clock::time_point state_since{};
        clock::time_point last_progress{};
        clock::time_point slot_start{};
        std::size_t slot_bytes = 0;          ///< Progress in the slot that began last.
        std::size_t previous_slot_bytes = 0; ///< Progress in the slot before.
    };

    static std::size_t weight_of(place_kind kind, place_state state);
    std::size_t& count_of(place_kind kind) { return kind == place_kind::caller ? callers_ : controls_; }
    static std::size_t recent_progress(const place& each, clock::time_point now);
    static bool may_lose_place(const place& each, clock::time_point now);
    std::optional<place_id> choose_least_progress(std::size_t min_bytes, clock::time_point now) const;
    std::optional<place_id> choose_longest_idle(std::optional<place_kind> kind) const;
    std::size_t reserve() const { return limits_.max_bytes / small_reserve_divisor; }

    intake_limits limits_;
    std::map<place_id, place> places_;
    place_id last_id_ = 0;
    std::size_t bytes_ = 0;
    std::size_t callers_ = 0;  ///< Number of connections of callers, and of those to servers for them.
    std::size_t controls_ = 0; ///< Number of control connections.
};

} // namespace eelgrassgw
