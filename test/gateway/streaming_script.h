#pragma once

/// Script of a backend server that streams events.

#include "event_stream.h"
#include "scripted_backend.h"

namespace eelgrassgw {

/// Returns a script that streams events up to `last_id`, beginning after the id in the request's
/// Last-Event-Id header.
inline scripted_backend::script_type streaming(int last_id) {
    return [last_id](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        for (int id = next_event_id(e.header("Last-Event-Id")); id <= last_id; ++id) {
            co_await e.piece(event(id));
        }
        co_await e.end();
    };
}

} // namespace eelgrassgw
