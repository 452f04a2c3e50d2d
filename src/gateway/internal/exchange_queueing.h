#pragma once

/// Member functions of `exchange` that have a request wait for room at the backend servers. Included by
/// exchange.h.

#include "gateway/exchange.h"

namespace eelgrassgw {

/// Returns whether the request waits for room. One that may have run cannot be refused any more, so it does
/// not wait either.
template <class Core>
bool exchange<Core>::is_subject_to_order() const {
    return core_.place_by_wait && route_->max_event_gap > milliseconds(0) && !sends_.may_have_run();
}

/// Returns what the order of the waiting requests depends on.
template <class Core>
admission_request exchange<Core>::describe_for_order() const {
    admission_request described;
    described.service = service_;
    described.customer = customer_ == nullptr ? "" : customer_->name;
    described.route = route_->name;
    described.priority =
        customer_ != nullptr && customer_->priority ? *customer_->priority : route_->priority;
    if (terms_.prompt) {
        described.shared_part = terms_.prompt->last_shared_part();
        described.unread_tokens = terms_.prompt->unshared_tokens();
        described.output_tokens = terms_.prompt->max_output_tokens;
    }
    described.bytes = request_.body().size();
    described.started = started_;
    described.objective = route_->latency_objective;
    described.deadline = deadline_ - min_attempt_time;
    described.max_unread_tokens =
        admission_request::read_tokens_per_ms * configuration_->shortest_event_gap(service_).count();
    const std::size_t servers = servers_for_request().size();
    described.expected_rate = double(admission_request::read_tokens_per_ms) * double(servers);
    described.is_first_send = tried_server_ids_.empty();
    return described;
}

/// Takes what the server's limit and its cold state allow, so that no other request takes it meanwhile.
template <class Core>
void exchange<Core>::take_room(tracked_backend& server) {
    core_.server_limits.note_request(server);
    cold_permit_ = core_.places.reserve(server.server, make_terms(), clock::now());
}

/// Takes room for the request at a server, if there is any, and leaves the server in `server`.
template <class Core>
place_attempt exchange<Core>::try_place(std::shared_ptr<tracked_backend>& server) {
    if (is_kept_back()) {
        return place_attempt::unavailable; // A part of the prompt got into quarantine during the wait.
    }
    placement_outcome found = choose_server();
    if (found.server == nullptr) {
        return found.no_room ? place_attempt::no_room : place_attempt::unavailable;
    }
    server = std::move(found.server);
    take_room(*server);
    room_hold_.emplace(server, tokens_to_read_);
    return place_attempt::placed;
}

/// Chooses a server, if need be once one has room. Returns null if there is none, if the exchange was
/// cancelled, or if the request is to be refused with `order_refusal_`.
template <class Core>
task<std::shared_ptr<tracked_backend>> exchange<Core>::take_server() {
    std::shared_ptr<tracked_backend> server;
    if (!is_subject_to_order()) {
        server = choose_server().server;
        if (server != nullptr) {
            take_room(*server);
        }
        co_return server;
    }
    auto wait = std::make_shared<admission_wait>(core_.context);
    control_.set_cancel_handler([wait] { wait->cancel(); });
    const admission_verdict verdict = co_await core_.admission->admit(
        describe_for_order(), [this, &server] { return try_place(server); }, wait);
    control_.set_cancel_handler(nullptr);
    attempt_fields_ = Json::objectValue;
    queued_for_ += verdict.waited;
    order_verdict_ = name_of(verdict.result);
    if (verdict.result == admission_verdict::outcome::refused) {
        order_refusal_ = refusal{refusal_reason::overloaded,
                                 "the backend servers of service \"" + service_ +
                                     "\" have no room for the request in time",
                                 retry_after_backlog(verdict.retry_after, time_left())};
    } else if (server != nullptr && !is_still_configured()) {
        server->limit.give_back(clock::now());
        cold_permit_.release();
        server = nullptr;
        order_refusal_ = refusal{refusal_reason::overloaded,
                                 "the configuration changed while the request waited", retry_after_overload};
    }
    if (server == nullptr) {
        room_hold_.reset();
    }
    co_return server;
}

/// Returns whether the configuration in force, which may have changed during a wait, still has the request's
/// route with its service, and its customer.
template <class Core>
bool exchange<Core>::is_still_configured() const {
    const auto& current = core_.configuration;
    if (current == configuration_) {
        return true;
    }
    const route* found = current->find_route(route_->host, route_->path_prefix);
    const bool has_route = found != nullptr && found->path_prefix == route_->path_prefix &&
                           found->kind == route_->kind &&
                           std::any_of(found->services.begin(), found->services.end(),
                                       [&](const auto& each) { return each.service == service_; });
    return has_route && (customer_ == nullptr || current->find_customer_by_key(*terms_.api_key) != nullptr);
}

/// Adds what the order of the waiting requests decided to the line of the log.
template <class Core>
void exchange<Core>::log_order(Json::Value& fields) const {
    if (order_verdict_ != nullptr) {
        fields["order"] = order_verdict_;
        fields["queued_ms"] = Json::Int64(queued_for_.count());
    }
}

} // namespace eelgrassgw
