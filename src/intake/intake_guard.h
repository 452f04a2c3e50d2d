#pragma once

/// Applies the limits of a process to its connections.

#include "eelgrassgw/metrics/metrics.h"
#include "gateway/vm_resources.h"
#include "intake/intake_ledger.h"
#include "net/task.h"

#include <json/json.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace eelgrassgw {

/// Returns the limits that follow from what the settings state about the VM.
intake_limits derive_intake_limits(const vm_resources& resources);

/// Makes the allocator return large blocks to the kernel when they are freed. By default it raises the size
/// from which it does so up to 32 MB, and a process keeps the memory of bodies that it has closed.
void return_large_blocks_when_freed();

class intake_guard;

/// The share of one connection in the limits of its process. The destructor gives it back. Not thread-safe.
class intake_place {
public:
    using clock = intake_ledger::clock;

    intake_place(intake_guard& guard, place_kind kind, std::function<void(place_state)> close);
    ~intake_place();
    intake_place(const intake_place&) = delete;
    intake_place& operator=(const intake_place&) = delete;

    /// Records that a request begins to arrive, on a connection that was idle.
    void begin_reading();

    /// Records that `new_bytes` of a request were read, for which `held_bytes` are held. Returns false if the
    /// connection has lost its place.
    bool note_read(std::size_t new_bytes, std::size_t held_bytes);

    /// Records that a request was read whole. Returns false if the process cannot hold it.
    bool begin_serving(std::size_t body_bytes);

    /// Changes the number of copies of the request's body that are held.
    void set_body_copies(std::size_t copies);

    /// Changes the number of bytes that are held of an answer which is not being sent.
    void set_answer_bytes(std::size_t bytes);

    /// Records that this many bytes of an answer are to be sent.
    void begin_sending(std::size_t bytes);

    /// Records that bytes of the answer were sent.
    void note_sent(std::size_t bytes);

    /// Records that the bytes of `begin_sending` were sent or given up.
    void end_sending();

    /// Records that the connection has no request any more.
    void end_request();

    /// Returns whether the connection lost its place while the current request was read or answered.
    bool is_lost() const { return lost_; }

private:
    friend class intake_guard;

    std::size_t held_bytes() const { return body_bytes_ * body_copies_ + answer_bytes_; }
    void update();
    bool is_counted() const { return !lost_ && !guard_alive_.expired(); }

    intake_guard& guard_;
    std::weak_ptr<const bool> guard_alive_;
    std::function<void(place_state)> close_;
    intake_ledger::place_id id_;
    std::size_t body_bytes_ = 0;
    std::size_t body_copies_ = 1;
    std::size_t answer_bytes_ = 0;
    bool lost_ = false;
};

/// Counts the connections of a process, and closes some when its limits are exceeded. Not thread-safe.
class intake_guard {
public:
    using event_sink = std::function<void(const char* event, Json::Value fields)>;

    /// Time after which a caller may retry that was refused for want of room.
    static constexpr std::chrono::milliseconds retry_after{500};
    /// Shortest time between two log lines "intake_full".
    static constexpr std::chrono::milliseconds log_interval{1000};
    static constexpr std::chrono::milliseconds metrics_interval{500};

    intake_guard(intake_limits limits, event_sink log, metrics_registry& metrics)
        : ledger_(limits), log_(std::move(log)), metrics_(metrics) {}

    /// Makes room for a connection by closing another one. Returns null if that is impossible. `close` is
    /// called when the connection loses its place, with what it was doing; it must not destroy the place.
    /// `other_connections` are open besides those of this guard.
    std::unique_ptr<intake_place> open(place_kind kind, std::function<void(place_state)> close,
                                       std::size_t other_connections = 0);

    /// Reports the bytes in use as a metric, until the I/O context stops.
    task<void> report_metrics();

private:
    friend class intake_place;

    void close_until_within_memory();
    const char* find_excess(intake_ledger::place_id id);
    void close(intake_ledger::place_id id, const char* cause);
    void note_refusal(const char* cause);

    std::shared_ptr<const bool> alive_ =
        std::make_shared<const bool>(true); ///< Places may outlive the guard.
    intake_ledger ledger_;
    event_sink log_;
    metrics_registry& metrics_;
    std::unordered_map<intake_ledger::place_id, intake_place*> places_;
    std::size_t other_connections_ = 0; ///< Connections besides those of the ledger, when last counted.
    intake_ledger::clock::time_point last_logged_{};
    std::size_t unlogged_refusals_ = 0;
};

} // namespace eelgrassgw
