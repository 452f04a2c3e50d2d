#include "intake/intake_guard.h"

#include <malloc.h>

#include <algorithm>
#include <limits>

namespace eelgrassgw {

namespace {

// Where the settings state no memory, the limit of bytes is 96 MB: two copies of the 48 MB of bodies that may
// be in progress at once.
constexpr std::size_t default_memory_mb = 256;
constexpr std::size_t reserved_descriptors = 200;
constexpr std::size_t min_connections = 16;

// Largest head of a request, which is counted as soon as the request begins to arrive.
constexpr std::size_t head_bytes = 16U << 10U;

constexpr int returned_block_bytes = 128 << 10;

} // namespace

intake_limits derive_intake_limits(const vm_resources& resources) {
    const std::size_t memory_mb = resources.memory_mb == 0 ? default_memory_mb : resources.memory_mb;
    intake_limits limits;
    // Three eighths of the memory. The rest is for the program itself (some 10 MB), for what grows while a
    // buffer is copied, for the allocator's losses, and for the kernel's buffers.
    limits.max_bytes = (memory_mb << 20U) / 8 * 3;
    limits.max_connections =
        resources.max_descriptors == 0
            ? std::numeric_limits<std::size_t>::max()
            : std::max(resources.max_descriptors, reserved_descriptors + min_connections) -
                  reserved_descriptors;
    return limits;
}

void return_large_blocks_when_freed() {
    mallopt(M_MMAP_THRESHOLD, returned_block_bytes);
    mallopt(M_TRIM_THRESHOLD, returned_block_bytes);
}

intake_place::intake_place(intake_guard& guard, place_kind kind, std::function<void(place_state)> close)
    : guard_(guard), guard_alive_(guard.alive_), close_(std::move(close)),
      id_(guard.ledger_.add(kind, clock::now())) {
    guard_.places_.emplace(id_, this);
}

intake_place::~intake_place() {
    if (guard_alive_.expired()) {
        return;
    }
    guard_.places_.erase(id_);
    guard_.ledger_.remove(id_);
}

void intake_place::begin_reading() {
    lost_ = false;
    body_bytes_ = head_bytes;
    guard_.ledger_.set_state(id_, place_state::reading, held_bytes(), clock::now());
    guard_.close_until_within_memory();
}

bool intake_place::note_read(std::size_t new_bytes, std::size_t held) {
    if (lost_) {
        return false;
    }
    body_bytes_ = held;
    guard_.ledger_.note_progress(id_, new_bytes, clock::now());
    update();
    return !lost_;
}

bool intake_place::begin_serving(std::size_t body_bytes) {
    if (lost_) {
        return false;
    }
    body_bytes_ = body_bytes;
    body_copies_ = 2;
    guard_.ledger_.set_state(id_, place_state::serving, held_bytes(), clock::now());
    guard_.close_until_within_memory();
    const char* cause = guard_.find_excess(id_);
    if (cause == nullptr) {
        return true;
    }
    lost_ = true;
    guard_.ledger_.set_state(id_, place_state::closing, 0, clock::now());
    guard_.note_refusal(cause);
    return false;
}

void intake_place::set_body_copies(std::size_t copies) {
    body_copies_ = copies;
    update();
}

void intake_place::set_answer_bytes(std::size_t bytes) {
    answer_bytes_ = bytes;
    update();
}

void intake_place::begin_sending(std::size_t bytes) {
    if (!is_counted()) {
        return;
    }
    answer_bytes_ = bytes;
    guard_.ledger_.set_state(id_, place_state::sending, held_bytes(), clock::now());
    guard_.close_until_within_memory();
}

void intake_place::note_sent(std::size_t bytes) {
    if (is_counted()) {
        guard_.ledger_.note_progress(id_, bytes, clock::now());
    }
}

void intake_place::end_sending() {
    if (!is_counted()) {
        return;
    }
    answer_bytes_ = 0;
    guard_.ledger_.set_state(id_, place_state::serving, held_bytes(), clock::now());
}

void intake_place::end_request() {
    if (!is_counted()) {
        return;
    }
    body_bytes_ = 0;
    body_copies_ = 1;
    answer_bytes_ = 0;
    guard_.ledger_.set_state(id_, place_state::idle, 0, clock::now());
}

void intake_place::update() {
    if (!is_counted()) {
        return;
    }
    guard_.ledger_.set_held(id_, held_bytes());
    guard_.close_until_within_memory();
}

std::unique_ptr<intake_place> intake_guard::open(place_kind kind,
                                                 std::function<void(place_state)> close_place,
                                                 std::size_t other_connections) {
    other_connections_ = other_connections;
    const auto now = intake_ledger::clock::now();
    while (const auto chosen = ledger_.choose_for_connection(kind, other_connections, now)) {
        close(*chosen, "descriptors");
    }
    if (!ledger_.has_room_for_connection(kind, other_connections)) {
        note_refusal("descriptors");
        return nullptr;
    }
    return std::make_unique<intake_place>(*this, kind, std::move(close_place));
}

/// Returns the limit that a request which was read whole exceeds; null if it can be served.
const char* intake_guard::find_excess(intake_ledger::place_id id) {
    const auto now = intake_ledger::clock::now();
    const place_kind kind = ledger_.kind_of(id);
    if (kind == place_kind::caller) {
        while (const auto chosen = ledger_.choose_for_server_connection(other_connections_, now)) {
            close(*chosen, "descriptors");
        }
        if (!ledger_.fits_connections(other_connections_)) {
            return "descriptors";
        }
    }
    return ledger_.fits(id) ? nullptr : "memory";
}

void intake_guard::close_until_within_memory() {
    while (const auto chosen = ledger_.choose_for_memory(intake_ledger::clock::now())) {
        close(*chosen, "memory");
    }
}

/// Closes a connection. What it holds counts as free from now on, as its task frees it before the event loop
/// reads much more.
void intake_guard::close(intake_ledger::place_id id, const char* cause) {
    intake_place& closed = *places_.at(id);
    const place_state state = ledger_.state_of(id);
    closed.lost_ = true;
    ledger_.set_state(id, place_state::closing, 0, intake_ledger::clock::now());
    note_refusal(cause);
    closed.close_(state);
}

void intake_guard::note_refusal(const char* cause) {
    metrics_.count("intake_refusals", {{"cause", cause}});
    ++unlogged_refusals_;
    const auto now = intake_ledger::clock::now();
    if (now - last_logged_ < log_interval) {
        return;
    }
    last_logged_ = now;
    Json::Value fields;
    fields["cause"] = cause;
    fields["refusals"] = Json::UInt64(std::exchange(unlogged_refusals_, 0));
    fields["bytes"] = Json::UInt64(ledger_.bytes());
    fields["max_bytes"] = Json::UInt64(ledger_.limits().max_bytes);
    fields["connections"] = Json::UInt64(ledger_.connections());
    log_("intake_full", std::move(fields));
}

task<void> intake_guard::report_metrics() {
    for (;;) {
        metrics_.set("intake_bytes", double(ledger_.bytes()));
        co_await sleep_for(metrics_interval);
    }
}

} // namespace eelgrassgw
