#pragma once

/// Cuts the bytes of an event stream into whole events.

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassgw {

/// Events end with an empty line; a field "id" names them. Only whole events come out, so a stream that stops
/// inside an event can go on at another backend server. Not thread-safe.
class event_splitter {
public:
    /// Takes bytes in, and returns the events that are whole now, with their ends. After `restart`, events
    /// whose number is not over the last one are left out.
    std::string take(std::string_view bytes);

    /// What remains of an event that has no end; it counts as one. Empties it.
    std::string take_rest();

    /// A new run goes on after the last whole event: forgets the rest.
    void restart();

    /// The id of the last whole event; empty before the first.
    const std::string& last_id() const { return last_id_; }

    /// Whole events so far.
    std::int64_t events() const { return events_; }

private:
    bool is_repetition(const std::string& id) const;

    std::string rest_;
    std::string last_id_;
    std::int64_t events_ = 0;
    bool restarted_ = false;
};

} // namespace eelgrassgw
