#pragma once

/// Splits the bytes of an event stream into complete events.

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassgw {

/// Splits an event stream into complete events, which end with an empty line and may have a field "id". Since
/// only complete events are returned, a stream that breaks inside an event can be resumed at another backend
/// server. Not thread-safe.
class event_splitter {
public:
    /// Appends `bytes` and returns the events that are now complete, including their empty lines. After
    /// `restart`, events whose numeric id is not greater than the last one are skipped as duplicates.
    std::string append(std::string_view bytes);

    /// Returns whether bytes of an incomplete event are held back. A stream that ends here was broken off.
    bool is_inside_event() const;

    /// Removes and returns the empty lines after the last complete event. Precondition: `is_inside_event()`
    /// is false.
    std::string take_trailing_lines();

    /// Prepares for a new run that resumes after the last complete event, and discards incomplete bytes.
    void restart();

    /// Returns the id of the last complete event that had one, or an empty string if there was none.
    const std::string& last_id() const { return last_id_; }

    /// Returns the number of bytes held back until their event is complete.
    std::size_t incomplete_bytes() const { return incomplete_event_.size(); }

    /// Returns the number of events returned so far.
    std::int64_t event_count() const { return event_count_; }

    /// Returns whether an event has been returned since the last `restart`, or at all if there was none.
    bool has_events_since_restart() const { return event_count_ > event_count_at_restart_; }

private:
    bool is_duplicate(const std::string& id) const;

    std::string incomplete_event_; ///< Bytes after the last complete event.
    std::string last_id_;
    std::int64_t event_count_ = 0;
    std::int64_t event_count_at_restart_ = 0;
    bool is_restarted_ = false;
};

} // namespace eelgrassgw
