#pragma once

/// Member functions of `exchange` that forward the body of a backend server's reply to the caller. Included
/// by exchange.h.

#include "gateway/exchange.h"

namespace eelgrassgw {

/// Returns whether the body of a success can go to the caller. Once a stream has begun, only events can.
template <class Core>
bool exchange<Core>::can_continue_answer(const reply_head& head) const {
    const auto type = head[http::field::content_type];
    return !answer_.started() || type.empty() || type.starts_with("text/event-stream");
}

/// Forwards each event as soon as it is complete. While processor time is short, pauses after each read, so
/// that the next one gets several events.
template <class Core>
task<attempt_outcome> exchange<Core>::forward_stream(tracked_backend& server, backend_reply& reply) {
    if (!answer_.started()) {
        answer_head head;
        head.base() = core_.protocol.make_caller_head(reply.head());
        if (!co_await answer_.send_head(std::move(head))) {
            control_.note_caller_left();
            co_return attempt_outcome::cancelled;
        }
    } else {
        splitter_.restart();
    }
    for (;;) {
        std::string bytes;
        const auto state = co_await reply.read_body_piece(bytes);
        server.last_heard_at = clock::now();
        core_.load.count_forwarded_bytes(bytes.size());
        std::string complete_events = splitter_.append(bytes);
        control_.place().set_answer_bytes(splitter_.incomplete_bytes());
        const bool ended = state == backend_reply::body_state::ended;
        if (ended) {
            attempt_fields_["bytes_after_last_event"] = Json::UInt64(splitter_.incomplete_bytes());
        }
        const std::string fault = find_stream_fault(reply, ended);
        const bool whole = ended && fault.empty();
        if (whole) {
            complete_events += splitter_.take_trailing_lines();
        }
        const bool has_events = !complete_events.empty();
        if (has_events) {
            first_event_after_ = first_event_after_.value_or(elapsed());
            unread_prompt_->note_event(clock::now());
            note_prompt_consumed();
            note_stream_event(server);
            core_.admission->room_appeared();
            note_answer_progress();
        }
        if (!co_await answer_.send_piece(std::move(complete_events))) {
            control_.note_caller_left();
        }
        if (whole && !control_.caller_left()) {
            co_await answer_.finish();
            co_return attempt_outcome::answered;
        }
        error_ = fault;
        if (control_.cancelled()) {
            co_return attempt_outcome::cancelled;
        }
        if (!error_.empty()) {
            co_return attempt_outcome::broken_midway;
        }
        if (has_events && bytes.size() < max_bytes_before_pause) {
            co_await pause_stream();
        }
    }
}

/// Waits while later events of the stream are to be collected.
template <class Core>
task<void> exchange<Core>::pause_stream() {
    const auto next_read = core_.load.next_stream_read(clock::now());
    if (next_read) {
        asio::steady_timer timer(core_.context, *next_read);
        net_error ignored;
        co_await timer.async_wait(with_error(ignored));
    }
}

/// Returns why a stream cannot go on, or why it is not whole if it has ended; empty if there is no fault.
template <class Core>
std::string exchange<Core>::find_stream_fault(const backend_reply& reply, bool ended) const {
    if (splitter_.incomplete_bytes() > max_event_bytes) {
        return "an event of the stream is too large";
    }
    const stream_end events{splitter_.is_inside_event(), splitter_.has_events_since_restart()};
    return ended ? find_end_fault(reply.end(), events) : "";
}

/// Collects the body and sends it once it is complete; a large body of a successful answer is forwarded as it
/// arrives. Sends nothing if an earlier server's answer has been started.
template <class Core>
task<attempt_outcome> exchange<Core>::forward_body(tracked_backend& server, backend_reply& reply,
                                                   answer_kind kind) {
    std::string body;
    bool forwarding = false;
    for (bool complete = false; !complete;) {
        std::string bytes;
        const auto state = co_await reply.read_body_piece(bytes);
        server.last_heard_at = clock::now();
        core_.load.count_forwarded_bytes(bytes.size());
        body += bytes;
        control_.place().set_answer_bytes(body.size());
        complete = state == backend_reply::body_state::ended;
        const std::string fault = complete ? find_end_fault(reply.end()) : "";
        if (!fault.empty()) {
            error_ = fault;
            co_return control_.cancelled() ? attempt_outcome::cancelled
            : forwarding                   ? attempt_outcome::broken_midway
                                           : attempt_outcome::invalid_answer;
        }
        if (kind != answer_kind::success && body.size() > max_held_answer_bytes) {
            error_ = "the body of a failure is too large";
            co_return attempt_outcome::invalid_answer;
        }
        if (!forwarding && !complete && kind == answer_kind::success && body.size() > max_held_answer_bytes) {
            forwarding = true;
            answer_head head;
            head.base() = core_.protocol.make_caller_head(reply.head());
            if (!co_await answer_.send_head(std::move(head))) {
                control_.note_caller_left();
            }
        }
        if (forwarding && !co_await answer_.send_piece(std::exchange(body, {}))) {
            control_.note_caller_left();
        }
        if (forwarding && control_.cancelled()) {
            co_return attempt_outcome::cancelled;
        }
    }
    if (kind == answer_kind::success) {
        unread_prompt_->note_answer(clock::now());
    }
    if (forwarding) {
        co_await answer_.finish();
        co_return attempt_outcome::answered;
    }
    text_reply reply_to_caller;
    reply_to_caller.base() = core_.protocol.make_caller_head(reply.head());
    reply_to_caller.body() = std::move(body);
    if (kind != answer_kind::success) {
        if (kind == answer_kind::failure) {
            // A reply of a server that declined does not replace an earlier server's failure.
            held_failure_ = std::move(reply_to_caller);
        }
        co_return attempt_outcome::failed;
    }
    co_await answer_.send_whole(std::move(reply_to_caller));
    co_return attempt_outcome::answered;
}

} // namespace eelgrassgw
