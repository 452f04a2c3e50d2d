#pragma once

/// Member functions of `exchange` that decide whether a request may be sent to a backend server at all: its
/// metadata, earlier attempts of its caller, its route and key, the quarantine and the budget. Included by
/// exchange.h.

#include "gateway/exchange.h"

namespace eelgrassgw {

template <class Core>
void exchange<Core>::decode_terms() {
    result<request_terms> decoded = core_.protocol.decode(request_);
    if (decoded) {
        terms_ = std::move(decoded.value());
    } else {
        malformed_ = decoded.error();
    }
}

template <class Core>
std::optional<refusal> exchange<Core>::check_admission() {
    if (core_.unrepeatable.contains(terms_.id)) {
        sends_.note_earlier_attempt();
        return refusal{
            refusal_reason::already_sent, "an earlier attempt with the same id may run or have run", {}};
    }
    if (core_.body_bytes_in_use > max_body_bytes_in_use) {
        answer_.close_connection_afterwards();
        return refusal{refusal_reason::overloaded, "too many large requests are in progress",
                       retry_after_overload};
    }
    if (configuration_ == nullptr) {
        return refusal{refusal_reason::no_configuration, "no configuration is known yet", retry_after_outage};
    }
    if (core_.refusing_requests) {
        return refusal{refusal_reason::draining, "this router is stopping", milliseconds(0)};
    }
    if (core_.freshness.is_outdated(clock::now()) && !core_.is_cut_off()) {
        return refusal{refusal_reason::configuration_superseded,
                       "this router has not read the newest configuration in time",
                       retry_after_newer_configuration};
    }
    const std::string target(request_.target());
    const std::string path = target.substr(0, target.find('?'));
    const std::string host(request_[http::field::host]);
    route_ = configuration_->find_route(host, path);
    if (route_ == nullptr) {
        return deny(refusal_reason::no_route, "no route for host \"" + host + "\" and path \"" + path + "\"");
    }
    if (core_.load.would_wait_too_long(route_->latency_objective)) {
        return refusal{refusal_reason::router_full, "this router is too busy to answer in time",
                       retry_after_overload};
    }
    return check_request();
}

template <class Core>
std::optional<refusal> exchange<Core>::check_request() {
    if (malformed_) {
        return refusal{refusal_reason::malformed, malformed_->message, {}};
    }
    start_timeout();
    if (route_->needs_key && configuration_->has_customers()) {
        customer_ = terms_.api_key ? configuration_->find_customer_by_key(*terms_.api_key) : nullptr;
        if (customer_ == nullptr) {
            return deny(refusal_reason::unknown_key, "the key belongs to no customer");
        }
    }
    if (route_->carries_prompt && !terms_.prompt) {
        return refusal{refusal_reason::malformed, "the request does not state its prompt", {}};
    }
    parts_ = list_parts();
    std::optional<refusal> refused = check_quarantine();
    if (refused && !take_probe()) {
        return refused;
    }
    claim_id();
    return std::nullopt;
}

/// Returns the refusal of what the configuration does not allow. While a newer one is known, which may allow
/// it, the caller is told to come back.
template <class Core>
refusal exchange<Core>::deny(refusal_reason reason, std::string message) const {
    if (core_.freshness.is_superseded()) {
        return {refusal_reason::configuration_superseded,
                message + ", but a newer configuration is on its way", retry_after_newer_configuration};
    }
    return {reason, std::move(message), {}};
}

/// Keeps the caller from repeating a request that may run only once: from now on it may be sent at any time.
/// Must be called before the first wait of the exchange, so that no other attempt can come in between.
template <class Core>
void exchange<Core>::claim_id() {
    has_claimed_id_ = !may_run_again(*route_) && core_.unrepeatable.insert(terms_.id, clock::now());
}

/// Lets the caller repeat a request that is proved not to have run.
template <class Core>
void exchange<Core>::release_id() {
    if (has_claimed_id_ && !sends_.may_have_run()) {
        core_.unrepeatable.erase(terms_.id);
    }
}

/// Returns a part of the request that is in quarantine; nothing if it has none.
template <class Core>
std::optional<quarantined_part> exchange<Core>::find_quarantined_part() const {
    if (core_.quarantine.empty()) {
        return std::nullopt;
    }
    return core_.quarantine.find_quarantined(parts_, clock_reading::now());
}

/// Returns the refusal for a request with a part in quarantine; nothing if it has none.
template <class Core>
std::optional<refusal> exchange<Core>::check_quarantine() const {
    const std::optional<quarantined_part> found = find_quarantined_part();
    if (!found) {
        return std::nullopt;
    }
    if (is_fingerprint(found->part)) {
        return refusal{refusal_reason::request_quarantined, "backend servers crashed under this request",
                       found->time_left};
    }
    return refusal{refusal_reason::prompt_quarantined,
                   "backend servers crashed under requests with the prompt part \"" + found->part + "\"",
                   found->time_left};
}

/// Makes the request the one that finds out whether its part in quarantine is harmless, if it is this
/// router's turn. Returns whether it did.
template <class Core>
bool exchange<Core>::take_probe() {
    is_probe_ = core_.quarantine.take_probe(parts_, clock_reading::now());
    if (is_probe_) {
        Json::Value fields;
        fields["request"] = terms_.id;
        core_.log.write("quarantine_probe", std::move(fields));
    }
    return is_probe_;
}

/// Returns whether the request must not be sent to a server, or to no further one, because of a part in
/// quarantine.
template <class Core>
bool exchange<Core>::is_kept_back() const {
    const std::optional<quarantined_part> found = find_quarantined_part();
    const bool is_unsent_probe = is_probe_ && sends_.send_count() == 0;
    return found && !(is_unsent_probe && found->may_be_probed);
}

/// Returns what the request has in common with others: the shared parts of its prompt, and its fingerprints.
template <class Core>
std::vector<std::string> exchange<Core>::list_parts() const {
    const auto method = request_.method_string();
    const auto target = request_.target();
    const std::string_view path_and_query(target.data(), target.size());
    const std::size_t query_start = std::min(path_and_query.find('?'), path_and_query.size());
    request_identity identity;
    identity.method = {method.data(), method.size()};
    identity.host = route_->host;
    identity.path = path_and_query.substr(0, query_start);
    std::string details(path_and_query.substr(query_start));
    if (terms_.prompt) {
        details += ' ' + terms_.prompt->to_text();
    }
    identity.details = details;
    identity.caller = customer_ == nullptr ? std::string_view() : std::string_view(customer_->name);
    identity.body = request_.body();
    std::vector<std::string> parts = terms_.prompt ? terms_.prompt->shared_parts : std::vector<std::string>();
    std::vector<std::string> fingerprints = fingerprints_of(identity);
    std::move(fingerprints.begin(), fingerprints.end(), std::back_inserter(parts));
    return parts;
}

/// Chooses the service that runs the request: that of the stream which it goes on with, or one of the route.
template <class Core>
task<std::optional<refusal>> exchange<Core>::choose_service_of_request() {
    std::optional<refusal> refused;
    if (is_stream() && terms_.take_up) {
        refused = co_await find_origin();
    }
    service_ = origin_ ? origin_->service : choose_service(*route_, random_below(1U << 30U));
    if (!refused) {
        core_.retries.record_request(service_, clock::now());
    }
    co_return refused;
}

template <class Core>
task<std::optional<refusal>> exchange<Core>::reserve_budget() {
    if (!route_->carries_prompt || customer_ == nullptr || !customer_->prepaid) {
        co_return std::nullopt;
    }
    const tokens amount = terms_.prompt->max_tokens();
    const milliseconds max_wait = std::min(route_->latency_objective, time_left() / 4);
    const reservation_verdict verdict = co_await core_.budgets.reserve(customer_->name, amount, max_wait);
    budget_known_after_ = elapsed();
    if (verdict == reservation_verdict::reserved) {
        reserved_tokens_ = amount;
        co_return std::nullopt;
    }
    if (verdict == reservation_verdict::exhausted) {
        co_return deny(refusal_reason::budget_exhausted, "the budget of customer \"" + customer_->name +
                                                             "\" does not cover " + std::to_string(amount) +
                                                             " tokens");
    }
    co_return refusal{refusal_reason::budget_unknown,
                      "the budget of customer \"" + customer_->name + "\" cannot be asked now",
                      retry_after_store_outage(core_.budgets.outage(), time_left())};
}

} // namespace eelgrassgw
