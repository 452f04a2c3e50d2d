#pragma once

/// Member functions of `router` that serve callers' requests.

namespace eelgrassgw {

namespace internal {

inline const std::string services_prefix = "/v1/services/";
inline const std::string requests_prefix = "/v1/requests/";

/// Returns whether the request carries the caller's own idempotency key.
inline bool has_caller_key(const http_request& request) {
    return !request.header("idempotency-key").empty();
}

/// Returns the error for a request that is refused at admission, before the router checks for an earlier run.
inline caller_error not_ready_error(const http_request& request, const std::string& code,
                                    const std::string& message) {
    caller_error error = bad_request(503, code, message);
    error.step = "admission";
    error.retry_after = std::chrono::seconds(1);
    if (has_caller_key(request)) {
        error.mark_earlier_run_unchecked();
    }
    return error;
}

/// Returns the error for a request whose path requires the method `expected_method`.
inline caller_error wrong_method_error(const http_request& request, const std::string& expected_method) {
    return bad_request(405, "method_not_allowed",
                       "Path \"" + request.path + "\" takes " + expected_method + ", not " + request.method +
                           ".");
}

} // namespace internal

template <object_store Store>
void router<Store>::handle_request(const http_request& request, http_exchange& exchange) {
    if (request.path == "/metrics") {
        answer_metrics(exchange);
    } else if (request.path == "/health") {
        const bool ready = current_session() != nullptr && !draining_;
        exchange.send({ready ? 200 : 503, {}, ready ? "ok\n" : "not ready\n"});
    } else if (request.path == rpc_path) {
        if (!has_valid_signature(request, settings_.common.fleet_key)) {
            exchange.send({401, {}, ""});
            return;
        }
        exchange.send({200, {{"content-type", "application/json"}}, rpc_.answer(request.body)});
    } else {
        const internal::in_flight_guard guard(in_flight_);
        handle_caller(request, exchange);
    }
}

/// Sends a refusal to the caller and counts it.
template <object_store Store>
void router<Store>::refuse_caller(const caller_error& error, const std::string& request_id,
                                  http_exchange& exchange) {
    metrics_.count("refusals", {{"code", error.code}});
    exchange.send(error.to_response(request_id));
}

template <object_store Store>
void router<Store>::handle_caller(const http_request& request, http_exchange& exchange) {
    const auto refuse = [&](const caller_error& error) {
        refuse_caller(error, "", exchange);
    };
    const std::shared_ptr<const configuration> config = configurations_.current();
    if (draining_ || config == nullptr || current_session() == nullptr) {
        refuse(draining_ ? internal::not_ready_error(request, "draining",
                                                     "This router is stopping; another one will serve you.")
                         : internal::not_ready_error(request, "starting",
                                                     "This router has no configuration or no journal yet."));
        return;
    }
    if (request.body_too_large) {
        refuse(
            bad_request(413, "body_too_large",
                        "The body is larger than " + std::to_string(settings_.max_body_bytes) + " bytes."));
        return;
    }
    const read_result<caller_identity> identity = read_identity(request, *config);
    if (const auto* error = std::get_if<caller_error>(&identity)) {
        refuse(*error);
        return;
    }
    const auto& caller = std::get<caller_identity>(identity);
    const bool is_chat = request.path == "/v1/chat/completions";
    const bool is_lookup =
        request.path == "/v1/models" || request.path.starts_with(internal::requests_prefix);
    if (is_chat && request.method != "POST") {
        refuse(internal::wrong_method_error(request, "POST"));
    } else if (is_lookup && request.method != "GET") {
        refuse(internal::wrong_method_error(request, "GET"));
    } else if (is_chat) {
        handle_chat(request, exchange, caller, *config);
    } else if (request.path == "/v1/models") {
        list_models(exchange, *config);
    } else if (request.path.starts_with(internal::services_prefix)) {
        handle_service(request, exchange, caller, *config);
    } else if (request.path.starts_with(internal::requests_prefix)) {
        describe_request(request.path.substr(internal::requests_prefix.size()), caller, exchange);
    } else {
        refuse(bad_request(404, "unknown_path", "Path \"" + request.path + "\" does not exist."));
    }
}

template <object_store Store>
work_order router<Store>::make_order(const http_request& request, const caller_identity& caller,
                                     const request_limits& limits) {
    const std::string key = request.header("idempotency-key");
    work_order order;
    order.has_caller_key = !key.empty();
    order.work.request_id = request_id_for(caller.customer, key);
    order.work.customer = caller.customer;
    order.work.budget = caller.budget;
    order.work.has_caller_key = order.has_caller_key;
    order.work.priority = limits.priority;
    order.work.digest =
        sha256_hex(request.method + " " + request.path + "?" + request.query + "\n" + request.body);
    order.deadline = std::chrono::steady_clock::now() + limits.deadline;
    order.resume_offset = std::strtoull(request.header("resume-offset").c_str(), nullptr, 10);
    order.routing.request_id = order.work.request_id;
    return order;
}

template <object_store Store>
void router<Store>::handle_chat(const http_request& request, http_exchange& exchange,
                                const caller_identity& caller, const configuration& config) {
    const request_limits limits = config.limits_of(caller.customer);
    work_order order = make_order(request, caller, limits);
    const read_result<chat_request> read = read_chat_request(request.body, config, limits);
    if (const auto* error = std::get_if<caller_error>(&read)) {
        refuse_caller(*error, order.work.request_id, exchange);
        return;
    }
    const auto& chat = std::get<chat_request>(read);
    order.served_name = chat.model;
    order.work.model = chat.model;
    order.work.body = to_text(chat.prompt);
    order.work.max_tokens = chat.max_tokens;
    order.work.reserved = chat.max_prompt_tokens + chat.max_tokens;
    order.work.priority = chat.priority;
    order.routing.prefix_hash = chat.prefix_hash;
    if (!begin_customer_request(caller.customer, limits.max_in_flight)) {
        refuse_caller(internal::not_ready_error(request, "too_many_in_flight",
                                                "The customer's limit of requests at once is reached."),
                      order.work.request_id, exchange);
        return;
    }
    if (chat.stream) {
        stream_chat(order, chat, exchange);
    } else {
        answer_chat(order, chat, exchange);
    }
    end_customer_request(caller.customer);
}

template <object_store Store>
void router<Store>::answer_chat(const work_order& order, const chat_request& chat, http_exchange& exchange) {
    collecting_sink sink(exchange);
    const dispatch_result dispatched = dispatcher_.run(current_session(), order, sink);
    if (!dispatched.succeeded) {
        refuse_caller(dispatched.error, order.work.request_id, exchange);
        return;
    }
    Json::Value body;
    body["id"] = order.work.request_id;
    body["object"] = "chat.completion";
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    body["created"] = Json::Int64(std::chrono::duration_cast<std::chrono::seconds>(now).count());
    body["model"] = chat.model;
    Json::Value choice;
    choice["index"] = 0;
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = sink.text();
    choice["finish_reason"] = dispatched.outcome.finish_reason;
    body["choices"].append(choice);
    body["usage"]["prompt_tokens"] = Json::Int64(dispatched.outcome.prompt_tokens);
    body["usage"]["completion_tokens"] = Json::Int64(dispatched.outcome.generated_tokens);
    body["usage"]["total_tokens"] = Json::Int64(dispatched.outcome.used);
    http_response response = json_response(200, body);
    response.headers["x-request-id"] = order.work.request_id;
    exchange.send(response);
}

template <object_store Store>
void router<Store>::stream_chat(const work_order& order, const chat_request& chat, http_exchange& exchange) {
    event_stream_sink sink(exchange, order.work.request_id, chat.model, order.resume_offset);
    const dispatch_result dispatched = dispatcher_.run(current_session(), order, sink);
    if (dispatched.caller_disconnected) {
        return;
    }
    if (dispatched.succeeded) {
        sink.finish(dispatched.outcome.finish_reason, dispatched.outcome.prompt_tokens,
                    dispatched.outcome.generated_tokens);
        return;
    }
    if (sink.has_begun()) {
        metrics_.count("refusals", {{"code", dispatched.error.code}});
        sink.fail(to_text(dispatched.error.to_json(order.work.request_id)));
    } else {
        refuse_caller(dispatched.error, order.work.request_id, exchange);
    }
}

template <object_store Store>
void router<Store>::handle_service(const http_request& request, http_exchange& exchange,
                                   const caller_identity& caller, const configuration& config) {
    const std::string rest = request.path.substr(internal::services_prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string service_name = rest.substr(0, slash);
    const std::string call_name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const service_definition* service = config.find_service(service_name);
    const service_call* call = service == nullptr ? nullptr : service->find_call(call_name);
    work_order order = make_order(request, caller, config.limits_of(caller.customer));
    if (call == nullptr) {
        refuse_caller(bad_request(404, "unknown_call",
                                  "Service \"" + service_name + "\" has no call \"" + call_name + "\"."),
                      order.work.request_id, exchange);
        return;
    }
    if (request.method != call->method) {
        refuse_caller(internal::wrong_method_error(request, call->method), order.work.request_id, exchange);
        return;
    }
    if (!call->idempotent && !order.has_caller_key) {
        refuse_caller(bad_request(400, "missing_idempotency_key",
                                  "Call \"" + call_name +
                                      "\" may not be repeated: send the header \"Idempotency-Key\" "
                                      "with a new value for each new booking."),
                      order.work.request_id, exchange);
        return;
    }
    order.served_name = service_name;
    order.work.method = call->method;
    order.work.path = call->path;
    order.work.query = request.query;
    order.work.body = request.body;
    order.work.idempotent = call->idempotent;
    order.work.price = call->price;
    order.work.reserved = call->price;
    answer_service(order, exchange);
}

template <object_store Store>
void router<Store>::answer_service(const work_order& order, http_exchange& exchange) {
    collecting_sink sink(exchange);
    const dispatch_result dispatched = order.work.idempotent
                                           ? dispatcher_.run(current_session(), order, sink)
                                           : claimed_dispatcher_.run(current_session(), order, sink);
    if (!dispatched.succeeded) {
        refuse_caller(dispatched.error, order.work.request_id, exchange);
        return;
    }
    http_response response{dispatched.outcome.status, {{"content-type", "application/json"}}, sink.text()};
    response.headers["x-request-id"] = order.work.request_id;
    response.headers["x-eelgrass-replayed"] = dispatched.replayed ? "true" : "false";
    exchange.send(response);
}

template <object_store Store>
void router<Store>::list_models(http_exchange& exchange, const configuration& config) {
    Json::Value body;
    body["object"] = "list";
    body["data"] = Json::arrayValue;
    for (const std::string& name : config.models()) {
        Json::Value model;
        model["id"] = name;
        model["object"] = "model";
        model["created"] = 0;
        model["owned_by"] = "eelgrassgw";
        body["data"].append(model);
    }
    exchange.send(json_response(200, body));
}

template <object_store Store>
void router<Store>::describe_request(const std::string& request_id, const caller_identity& caller,
                                     http_exchange& exchange) {
    const Json::Value found = find_request(request_id, caller.customer);
    http_response response = json_response(found.isNull() ? 404 : 200, found);
    if (found.isNull()) {
        caller_error error = bad_request(
            404, "unknown_request", "No process that can be asked knows request \"" + request_id + "\".");
        error.did_run = ran_status::unknown;
        error.safe_to_repeat = false;
        response = error.to_response(request_id);
    }
    response.headers["x-request-id"] = request_id;
    exchange.send(response);
}

/// Searches this router's request table first, then the agents, then the other routers. Returns null if none
/// of them knows the request.
template <object_store Store>
Json::Value router<Store>::find_request(const std::string& request_id, const std::string& customer) {
    const std::optional<request_entry> entry = requests_.find(request_id);
    if (entry && entry->customer == customer) {
        return entry->to_json(request_id);
    }
    for (const agent_member& agent : view_.agents()) {
        const result<Json::Value> status = caller_.ask_status(agent, request_id);
        if (!status || string_member(status.value(), "customer") != customer) {
            continue;
        }
        const Json::Value& outcome = member(status.value(), "outcome");
        Json::Value found;
        found["request_id"] = request_id;
        found["state"] = outcome["state"];
        found["agent"] = agent.incarnation;
        found["note"] = outcome["message"];
        return found;
    }
    for (const router_member& peer : view_.routers()) {
        Json::Value params;
        params["request_id"] = request_id;
        params["customer"] = customer;
        const bool is_other = peer.incarnation != current_session()->incarnation();
        if (!is_other || peer.state == member_state::closed) {
            continue;
        }
        const result<Json::Value> reply =
            call_peer(peer.address, settings_.common.fleet_key, "find_request", params, http_timeouts{});
        if (reply && bool_member(reply.value(), "known") && reply.value()["entry"].isObject()) {
            return reply.value()["entry"];
        }
    }
    return {};
}

template <object_store Store>
void router<Store>::answer_metrics(http_exchange& exchange) {
    const std::shared_ptr<session> own_session = current_session();
    metrics_.set("requests_in_flight", in_flight_);
    metrics_.set("unsettled_tickets", static_cast<double>(settler_.size()));
    metrics_.set("live_agents", static_cast<double>(live_agent_count()));
    metrics_.set("configuration_revision", static_cast<double>(configurations_.revision()));
    if (own_session != nullptr) {
        metrics_.set("journal_lag_records", static_cast<double>(own_session->journal().unwritten_records()));
        tokens overspend = 0;
        for (const std::string& budget : own_session->book().budgets()) {
            const allowance_state state = own_session->book().state(budget);
            overspend += std::max<tokens>(-state.available(), 0);
            metrics_.set("allowance_tokens", static_cast<double>(state.available()),
                         {{"budget", budget}, {"kind", "available"}});
            metrics_.set("allowance_tokens", static_cast<double>(state.reserved),
                         {{"budget", budget}, {"kind", "reserved"}});
        }
        metrics_.set("overspend_tokens", static_cast<double>(overspend));
    }
    if constexpr (requires { store_.counts(); }) {
        const auto counts = store_.counts();
        metrics_.set("store_calls", static_cast<double>(counts.gets), {{"kind", "get"}});
        metrics_.set("store_calls", static_cast<double>(counts.puts), {{"kind", "put"}});
        metrics_.set("store_calls", static_cast<double>(counts.removes), {{"kind", "remove"}});
        metrics_.set("store_calls", static_cast<double>(counts.lists), {{"kind", "list"}});
        metrics_.set("store_calls", static_cast<double>(counts.watches), {{"kind", "watch"}});
        metrics_.set("store_body_bytes", static_cast<double>(counts.body_bytes));
        metrics_.set("store_call_failures", static_cast<double>(counts.failures));
    }
    exchange.send({200, {{"content-type", "text/plain; version=0.0.4"}}, metrics_.text()});
}

template <object_store Store>
std::size_t router<Store>::live_agent_count() const {
    const std::vector<agent_member> agents = view_.agents();
    return static_cast<std::size_t>(
        std::count_if(agents.begin(), agents.end(),
                      [](const agent_member& agent) { return agent.state == member_state::live; }));
}

template <object_store Store>
bool router<Store>::begin_customer_request(const std::string& customer, int max_in_flight) {
    const std::lock_guard lock(mutex_);
    int& n = in_flight_by_customer_[customer];
    if (n >= max_in_flight) {
        return false;
    }
    ++n;
    return true;
}

template <object_store Store>
void router<Store>::end_customer_request(const std::string& customer) {
    const std::lock_guard lock(mutex_);
    if (--in_flight_by_customer_[customer] == 0) {
        in_flight_by_customer_.erase(customer);
    }
}

} // namespace eelgrassgw
