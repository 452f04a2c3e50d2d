#pragma once

/// Decides for how long the events of a stream are collected while processor time is short.

#include <chrono>

namespace eelgrassgw {

/// Returns the longest time that an event may wait in the router for later ones, given the longest time that
/// it may spend there. A fifth of it leaves the rest for the router's own delay. At most 40 ms: the events of
/// a stream are often 20 to 50 ms apart, so that a longer wait mainly adds delay.
std::chrono::milliseconds coalescing_window(std::chrono::milliseconds event_delay_limit);

/// Returns the time at which a stream is read again after a read at `now`. All streams are read at multiples
/// of a quarter of the window, so that one wake-up serves several streams. Precondition: `window` is
/// positive.
std::chrono::steady_clock::time_point next_read_time(std::chrono::steady_clock::time_point now,
                                                     std::chrono::milliseconds window);

} // namespace eelgrassgw
