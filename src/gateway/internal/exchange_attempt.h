#pragma once

/// One sending of a request to a backend server, and the passing on of its answer. Part of exchange.h.

#include "gateway/exchange.h"

namespace eelgrassgw {

/// Sends the request to `server` and passes its answer on.
template <class Core>
task<attempt_end> exchange<Core>::attempt(std::shared_ptr<tracked_backend> server) {
    auto opened = co_await core_.pool.open(server->server.address, std::min(connect_limit, left()));
    if (!opened) {
        error_ = opened.error().text();
        avoid(*server, rest_unreachable);
        co_return attempt_end::not_sent;
    }
    if (control_.ended() || left() < least_useful_time) {
        co_return attempt_end::ended;
    }
    const std::unique_ptr<connection> to = std::move(opened.value());
    ++server->running_requests;
    unread_.emplace(core_.notices, server, terms_.prompt ? terms_.prompt->own_tokens() : 0);
    control_.attach(to->socket);
    const bool ran_before = may_have_run_;
    may_have_run_ = true;
    ++sent_;
    const attempt_end end = co_await exchange_on(server, *to);
    control_.detach();
    --server->running_requests;
    unread_.reset();
    if (end == attempt_end::not_run || end == attempt_end::wrong_server) {
        may_have_run_ = ran_before;
    }
    co_return end;
}

template <class Core>
task<attempt_end> exchange<Core>::exchange_on(std::shared_ptr<tracked_backend> server, connection& to) {
    backend_send send;
    send.server_id = server->server.id;
    send.left = left();
    send.customer = customer_ == nullptr ? "" : customer_->name;
    send.urgency = customer_ != nullptr && customer_->priority ? *customer_->priority : route_->priority;
    send.resume_after = events_.last_id();
    text_request outgoing = core_.protocol.to_backend(request_, terms_, send);
    net_error ec;
    co_await http::async_write(to.socket, outgoing, with_error(ec));
    // A server may answer before it has read the whole request, so a failed write does not end the attempt.
    backend_reply reply(to, request_.method() == http::verb::head);
    const backend_reply::judgement judge = [this](const reply_head& head) {
        return core_.protocol.judge(head, terms_);
    };
    const answer_kind kind = co_await reply.read_head(judge);
    if (kind == answer_kind::invalid) {
        error_ = ec ? "send to " + to.peer + ": " + ec.message() : reply.error();
        avoid(*server, rest_unusable);
        co_return control_.ended() ? attempt_end::ended : attempt_end::unusable;
    }
    co_return co_await pass_answer(*server, to, reply, kind);
}

template <class Core>
task<attempt_end> exchange<Core>::pass_answer(tracked_backend& server, connection& to, backend_reply& reply,
                                              answer_kind kind) {
    attempt_end end = attempt_end::unusable;
    if (kind == answer_kind::success && is_stream()) {
        end = co_await pass_stream(reply);
    } else {
        end = co_await pass_body(reply, kind);
    }
    const bool declined = kind == answer_kind::not_run || kind == answer_kind::wrong_server;
    if (declined) {
        avoid(server, kind == answer_kind::not_run ? rest_full : rest_wrong);
        end = kind == answer_kind::not_run ? attempt_end::not_run : attempt_end::wrong_server;
    }
    if (end == attempt_end::unusable) {
        avoid(server, rest_unusable);
    }
    const bool complete = declined || end == attempt_end::answered || end == attempt_end::failed;
    const milliseconds keep_for = complete ? reply.reusable_for() : milliseconds(0);
    if (keep_for > milliseconds(0)) {
        control_.detach();
        auto kept = std::make_unique<connection>(std::move(to.socket));
        kept->peer = to.peer;
        core_.pool.keep(std::move(kept), keep_for);
    }
    co_return end;
}

/// Passes whole events on as they come.
template <class Core>
task<attempt_end> exchange<Core>::pass_stream(backend_reply& reply) {
    if (!answer_.started()) {
        answer_head head;
        head.base() = core_.protocol.to_caller(reply.head());
        if (!co_await answer_.start(std::move(head))) {
            control_.note_caller_left();
            co_return attempt_end::ended;
        }
    } else {
        events_.restart();
    }
    for (;;) {
        std::string bytes;
        const auto state = co_await reply.read_piece(bytes);
        std::string whole = events_.append(bytes);
        if (state == backend_reply::body_state::complete) {
            whole += events_.take_remainder();
        }
        if (!whole.empty()) {
            first_event_after_ = first_event_after_.value_or(elapsed());
            unread_->mark_read();
        }
        if (!co_await answer_.send_piece(std::move(whole))) {
            control_.note_caller_left();
        }
        if (control_.ended() || state != backend_reply::body_state::more) {
            error_ = state == backend_reply::body_state::broken ? reply.error() : "";
            const bool complete = state == backend_reply::body_state::complete && !control_.caller_left();
            if (complete) {
                co_await answer_.finish();
            }
            co_return complete ? attempt_end::answered
            : control_.ended() ? attempt_end::ended
                               : attempt_end::broken_midway;
        }
    }
}

/// Collects the body, and sends it once it is whole; a large one of a success goes out as it comes. Nothing
/// of it goes into an answer that an earlier server began.
template <class Core>
task<attempt_end> exchange<Core>::pass_body(backend_reply& reply, answer_kind kind) {
    std::string body;
    bool passing = false;
    for (bool complete = false; !complete;) {
        std::string bytes;
        const auto state = co_await reply.read_piece(bytes);
        body += bytes;
        if (state == backend_reply::body_state::broken) {
            error_ = reply.error();
            co_return control_.ended() ? attempt_end::ended
            : passing                  ? attempt_end::broken_midway
                                       : attempt_end::unusable;
        }
        complete = state == backend_reply::body_state::complete;
        if (!passing && !complete && kind == answer_kind::success && body.size() > largest_held_answer) {
            passing = true;
            answer_head head;
            head.base() = core_.protocol.to_caller(reply.head());
            if (!co_await answer_.start(std::move(head))) {
                control_.note_caller_left();
            }
        }
        if (passing && !co_await answer_.send_piece(std::exchange(body, {}))) {
            control_.note_caller_left();
        }
        if (passing && control_.ended()) {
            co_return attempt_end::ended;
        }
    }
    if (passing) {
        co_await answer_.finish();
        co_return attempt_end::answered;
    }
    text_reply whole;
    whole.base() = core_.protocol.to_caller(reply.head());
    whole.body() = std::move(body);
    if (kind != answer_kind::success) {
        if (kind == answer_kind::failure) {
            held_failure_ = std::move(whole); // One that declines says nothing of an earlier server's run.
        }
        co_return attempt_end::failed;
    }
    co_await answer_.send_whole(std::move(whole));
    co_return attempt_end::answered;
}

} // namespace eelgrassgw
