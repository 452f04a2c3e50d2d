#pragma once

/// Writes answers and counts their bytes until the other side has taken them.

#include "intake/intake_guard.h"

#include <boost/asio/completion_condition.hpp>

namespace eelgrassgw {

/// Counts bytes as unsent until its destructor runs. Not thread-safe.
class counted_sending {
public:
    /// Precondition: `place` outlives this object.
    counted_sending(intake_place& place, std::size_t bytes) : place_(place) { place_.begin_sending(bytes); }
    ~counted_sending() { place_.end_sending(); }
    counted_sending(const counted_sending&) = delete;
    counted_sending& operator=(const counted_sending&) = delete;

    /// Returns a completion condition that writes everything and records the progress.
    auto progress() const {
        return [&place = place_, last = std::size_t(0)](net_error ec, std::size_t sent) mutable {
            if (sent > last) {
                place.note_sent(sent - last);
                last = sent;
            }
            return asio::transfer_all()(ec, sent);
        };
    }

private:
    intake_place& place_;
};

/// Writes a whole reply. Returns the error of the write. Precondition: all arguments outlive the task.
task<net_error> write_counted(tcp::socket& socket, text_reply& reply, intake_place& place);

} // namespace eelgrassgw
