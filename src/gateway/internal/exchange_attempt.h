#pragma once

/// Member functions of `exchange` that send a request to a backend server and judge its reply. Included by
/// exchange.h.

#include "gateway/exchange.h"

namespace eelgrassgw {

/// Opens a connection on which the peer has not refused the request before. That refusal could arrive once
/// more and be taken for an answer to the next send.
template <class Core>
task<result<std::unique_ptr<connection>>> exchange<Core>::open_connection(std::string address) {
    const std::uint64_t id_hash = stable_hash(terms_.id);
    for (;;) {
        const milliseconds timeout = std::min(connect_timeout, time_left());
        result<std::unique_ptr<connection>> opened = co_await core_.pool.open(address, timeout);
        if (!opened || !opened.value()->has_refused(id_hash)) {
            co_return std::move(opened);
        }
    }
}

/// Sends the request to `server` and forwards its answer to the caller.
template <class Core>
task<attempt_outcome> exchange<Core>::send_to(std::shared_ptr<tracked_backend> server) {
    auto opened = co_await open_connection(server->server.address);
    if (!opened) {
        error_ = opened.error().text();
        avoid_server(*server, avoid_unreachable_time);
        co_return attempt_outcome::not_sent;
    }
    std::unique_ptr<connection> upstream = std::move(opened.value());
    control_.check_caller();
    if (control_.cancelled() || time_left() < min_attempt_time) {
        core_.pool.put_back(std::move(upstream));
        co_return attempt_outcome::cancelled;
    }
    // While this task waited for the connection, the server may have begun to leave or to pause, a part of
    // the prompt may have got into quarantine, or the server's data centre may have been evacuated.
    if (!server->accepts_requests(clock::now()) || is_kept_back() || !has_version_of_stream(*server) ||
        !core_.places.begin_send(server->server, make_terms(), cold_permit_, clock::now())) {
        error_ = "server " + server->server.id + " accepts no requests like this one";
        core_.pool.put_back(std::move(upstream));
        co_return attempt_outcome::not_sent;
    }
    attempt_fields_["version"] = server->server.version;
    server->begin_request(clock::now());
    room_hold_.reset(); // From here on, the unread prompt counts.
    unread_prompt_.emplace(core_.long_prompts, server, tokens_to_read_,
                           terms_.prompt ? terms_.prompt->last_shared_part() : "",
                           terms_.prompt ? terms_.prompt->max_tokens() : 0);
    control_.attach_upstream(upstream->socket);
    sends_.begin_send();
    progress_ = {};
    progress_.sent_at = clock::now();
    progress_.server_started_ms = server->server.started_ms;
    const attempt_outcome outcome = co_await send_and_receive(server, *upstream);
    control_.detach_upstream();
    if (progress_.connection_lost && !control_.cancelled()) {
        note_broken_answer(*server);
    }
    --server->running_requests;
    unread_prompt_.reset();
    if (outcome == attempt_outcome::not_run || outcome == attempt_outcome::wrong_server) {
        sends_.prove_not_run();
    }
    co_return outcome;
}

template <class Core>
task<attempt_outcome> exchange<Core>::send_and_receive(std::shared_ptr<tracked_backend> server,
                                                       connection& upstream) {
    backend_request_metadata metadata;
    metadata.server_id = server->server.id;
    metadata.time_left = time_left();
    metadata.customer = customer_ == nullptr ? "" : customer_->name;
    metadata.urgency = customer_ != nullptr && customer_->priority ? *customer_->priority : route_->priority;
    metadata.last_event_id = splitter_.last_id();
    control_.place().set_body_copies(2); // That of the caller's request and that of the upload.
    request_upload upload(upstream.socket, core_.protocol.make_backend_request(request_, terms_, metadata),
                          [this] { control_.place().set_body_copies(1); });
    const connection_history history =
        upstream.requests_sent == 0 ? connection_history::first_request : connection_history::reused;
    attempt_fields_["earlier_requests"] = upstream.requests_sent++;
    upload.start();
    const attempt_outcome outcome = co_await receive(server, upstream, upload, history);
    if (upload.in_progress()) {
        attempt_fields_["upload_unfinished"] = true;
        co_await upload.stop();
    }
    co_return outcome;
}

/// Reads the server's reply and forwards it. A server may answer before it has read the whole request, so
/// neither an unfinished nor a failed upload ends the attempt.
template <class Core>
task<attempt_outcome> exchange<Core>::receive(std::shared_ptr<tracked_backend> server, connection& upstream,
                                              request_upload& upload, connection_history history) {
    backend_reply reply(upstream, upload, request_.method() == http::verb::head);
    const backend_reply::head_classifier classify = [&](const reply_head& head) {
        const reply_evidence evidence = core_.protocol.read_evidence(head, terms_, server->server.id);
        log_evidence(evidence);
        return judge_reply(evidence, history);
    };
    const answer_kind kind = co_await reply.read_head(classify);
    log_skipped_replies(reply);
    if (reply.has_head()) {
        note_server_notice(*server, reply.head(), kind);
    }
    if (kind == answer_kind::invalid) {
        error_ = describe_invalid_reply(reply, upload, upstream.peer);
        progress_.connection_lost = reply.connection_lost();
        if (!control_.caller_left()) { // A caller that leaves ends the connection, too.
            avoid_server(*server, avoid_invalid_answer_time);
        }
        co_return control_.cancelled() ? attempt_outcome::cancelled : attempt_outcome::invalid_answer;
    }
    if (kind == answer_kind::success && !can_continue_answer(reply.head())) {
        error_ = "the server that was asked to resume the stream answered with another content type";
        avoid_server(*server, avoid_invalid_answer_time);
        co_return attempt_outcome::invalid_answer;
    }
    co_return co_await forward_answer(*server, upstream, reply, kind);
}

/// Returns why no valid head came, for the log and the caller.
template <class Core>
std::string exchange<Core>::describe_invalid_reply(const backend_reply& reply, const request_upload& upload,
                                                   const std::string& peer) {
    if (upload.error() && reply.connection_lost()) {
        return "send to " + peer + ": " + upload.error().message();
    }
    return reply.error().empty() ? "the reply's head is not one that a server may send for the request"
                                 : reply.error();
}

template <class Core>
task<attempt_outcome> exchange<Core>::forward_answer(tracked_backend& server, connection& upstream,
                                                     backend_reply& reply, answer_kind kind) {
    attempt_fields_["framing"] = name_of(reply.framing());
    if (kind == answer_kind::success) {
        progress_.answer_began = true;
    }
    attempt_outcome outcome = attempt_outcome::invalid_answer;
    if (kind == answer_kind::success && is_stream()) {
        outcome = co_await forward_stream(server, reply);
    } else {
        outcome = co_await forward_body(server, reply, kind);
    }
    progress_.connection_lost = reply.connection_lost() || (outcome == attempt_outcome::broken_midway &&
                                                            reply.framing() == body_framing::connection_end);
    if (outcome == attempt_outcome::answered) {
        note_whole_answer();
    }
    const bool declined = proves_not_run(kind);
    if (declined) {
        upstream.refused_requests.push_back(stable_hash(terms_.id));
        avoid_server(server, kind == answer_kind::not_run ? avoid_declined_time : avoid_wrong_server_time);
        outcome = kind == answer_kind::not_run ? attempt_outcome::not_run : attempt_outcome::wrong_server;
    }
    if (outcome == attempt_outcome::invalid_answer) {
        avoid_server(server, avoid_invalid_answer_time);
    }
    const bool complete =
        declined || outcome == attempt_outcome::answered || outcome == attempt_outcome::failed;
    const milliseconds reuse_time = complete ? reply.reuse_time() : milliseconds(0);
    if (reuse_time > milliseconds(0)) {
        control_.detach_upstream();
        auto idle = std::make_unique<connection>(std::move(upstream.socket));
        idle->peer = upstream.peer;
        idle->requests_sent = upstream.requests_sent;
        idle->refused_requests = std::move(upstream.refused_requests);
        core_.pool.keep(std::move(idle), reuse_time);
    }
    co_return outcome;
}

/// Adds the statuses of the replies to other requests to the log.
template <class Core>
void exchange<Core>::log_skipped_replies(const backend_reply& reply) {
    for (const unsigned status : reply.skipped_statuses()) {
        attempt_fields_["skipped_statuses"].append(status);
    }
}

/// Adds the status of a reply to the log, and what a refusal says about the request.
template <class Core>
void exchange<Core>::log_evidence(const reply_evidence& evidence) {
    attempt_fields_["status"] = evidence.status;
    if (!evidence.states_not_run && !promises_not_run(evidence.status)) {
        return;
    }
    attempt_fields_["subject"] = name_of(evidence.subject);
    attempt_fields_["states_not_run"] = evidence.states_not_run;
    attempt_fields_["names_intended_server"] = evidence.names_intended_server;
    core_.metrics.count("backend_refusals", {{"subject", name_of(evidence.subject)}});
}

/// Applies what the server states about itself in the head of an answer.
template <class Core>
void exchange<Core>::note_server_notice(tracked_backend& server, const reply_head& head, answer_kind kind) {
    const auto now = clock::now();
    server.last_heard_at = now;
    const server_notice notice = core_.protocol.read_server_notice(head);
    if (notice.leaving && !server.leaving) {
        server.leaving = true;
        Json::Value fields;
        fields["server"] = server.server.id;
        fields["request"] = terms_.id;
        core_.log.write("backend_server_leaving", std::move(fields));
    }
    if (notice.pause) {
        server.paused_until = std::max(server.paused_until, now + *notice.pause);
        Json::Value fields;
        fields["server"] = server.server.id;
        fields["request"] = terms_.id;
        fields["pause_ms"] = Json::Int64(notice.pause->count());
        core_.log.write("backend_server_paused", std::move(fields));
    }
    if (notice.cold_time_left && kind != answer_kind::invalid && kind != answer_kind::wrong_server) {
        core_.places.note_cold_time(server.server, *notice.cold_time_left, now);
    }
    note_server_limit(server, notice, kind);
}

/// Notes what an answer says about the server's limit. An invalid answer may lack what the server meant to
/// say, so it ends no limit.
template <class Core>
void exchange<Core>::note_server_limit(tracked_backend& server, const server_notice& notice,
                                       answer_kind kind) {
    if (notice.limit) {
        attempt_fields_["limit"] = *notice.limit;
        core_.metrics.count("answers_with_limit");
    }
    const bool says_nothing = !notice.limit && kind == answer_kind::invalid;
    const bool is_of_another_server = kind == answer_kind::wrong_server;
    if (says_nothing || is_of_another_server || notice.has_unreadable_limit ||
        !core_.server_limits.note_answer(server, notice.limit)) {
        return;
    }
    Json::Value fields;
    fields["server"] = server.server.id;
    fields["request"] = terms_.id;
    fields["limit"] = notice.limit ? Json::Value(*notice.limit) : Json::Value();
    core_.log.write("backend_server_limit", std::move(fields));
}

/// Tells the quarantine how long the server has been writing events of the answer.
template <class Core>
void exchange<Core>::note_answer_progress() {
    const auto now = clock_reading::now();
    progress_.first_piece_at = progress_.first_piece_at.value_or(now.steady);
    if (!core_.quarantine.empty()) {
        core_.quarantine.note_progress(parts_, *progress_.first_piece_at, now);
    }
}

/// Tells the quarantine that the request and its prompt's parts are harmless.
template <class Core>
void exchange<Core>::note_whole_answer() {
    const auto now = clock_reading::now();
    core_.origins.note_whole(stream_id());
    core_.quarantine.note_answer(parts_, progress_.first_piece_at.value_or(progress_.sent_at), now);
}

/// Has the server checked for a crash.
template <class Core>
void exchange<Core>::note_broken_answer(const tracked_backend& server) {
    interrupted_request interrupted;
    interrupted.parts = parts_;
    interrupted.after_begin = progress_.answer_began;
    attempt_fields_["fingerprint"] = parts_.back();
    if (progress_.first_piece_at) {
        interrupted.written_for = std::chrono::floor<milliseconds>(clock::now() - *progress_.first_piece_at);
    }
    core_.crashes.note_broken_answer(server, std::move(interrupted), terms_.id);
}

} // namespace eelgrassgw
