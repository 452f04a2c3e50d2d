#pragma once

/// Member functions of `agent` that answer remote calls of routers, recovery and operators.

namespace eelgrassgw {

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::add_rpc_methods() {
    rpc_.add("seal", [this](const Json::Value& params) { return seal_router(params); });
    rpc_.add("status", [this](const Json::Value& params) {
        return describe_run(runs_.find_status(string_member(params, "request_id")));
    });
    rpc_.add("bar", [this](const Json::Value& params) {
        return describe_run(
            runs_.bar_ticket(string_member(params, "request_id"), string_member(params, "nonce")));
    });
    rpc_.add("journalled", [this](const Json::Value& params) { return mark_journalled(params); });
    rpc_.add("abandon", [this](const Json::Value& params) { return abandon_run(params); });
    rpc_.add("drain", [this](const Json::Value&) {
        begin_drain("an operator requested a drain");
        return Json::Value(Json::objectValue);
    });
    rpc_.add("describe", [this](const Json::Value&) { return describe_self(); });
}

/// Refuses all later tickets of a router that is being recovered. Replies with the router's billing records
/// that are not yet in a journal and with the number of its runs that have not ended.
template <object_store Store, backend_adapter Backend>
Json::Value agent<Store, Backend>::seal_router(const Json::Value& params) {
    const std::string router = string_member(params, "router");
    if (failpoint("agent_seal") != failpoint_action::skip) {
        runs_.seal_router(router);
        const std::lock_guard lock(mutex_);
        admitted_routers_.erase(router);
    }
    Json::Value reply;
    reply["agent"] = incarnation_;
    reply["running"] = 0;
    reply["records"] = Json::arrayValue;
    for (const auto& entry : runs_.unjournalled_runs(router)) {
        if (is_final(entry->outcome().state)) {
            reply["records"].append(make_billing_record(*entry, incarnation_).to_json());
        } else {
            reply["running"] = reply["running"].asInt() + 1;
        }
    }
    Json::Value fields;
    fields["router"] = router;
    fields["running"] = reply["running"];
    fields["records"] = reply["records"].size();
    log("router_sealed", fields);
    return reply;
}

template <object_store Store, backend_adapter Backend>
Json::Value agent<Store, Backend>::describe_run(const run_status& status) const {
    Json::Value reply;
    reply["agent"] = incarnation_;
    reply["known"] = status.known;
    reply["barred"] = status.barred;
    reply["ran_before"] = status.ran_before;
    reply["remembers_all"] = memory_is_complete_.load();
    if (status.run_ptr != nullptr) {
        reply["router"] = status.run_ptr->assigned_ticket().router;
        reply["nonce"] = status.run_ptr->assigned_ticket().nonce;
        reply["customer"] = status.run_ptr->assigned_ticket().customer;
        reply["digest"] = status.run_ptr->assigned_ticket().digest;
        reply["outcome"] = status.run_ptr->outcome().to_json();
    }
    return reply;
}

template <object_store Store, backend_adapter Backend>
Json::Value agent<Store, Backend>::mark_journalled(const Json::Value& params) {
    runs_.mark_journalled(string_elements(member(params, "request_ids")));
    return Json::objectValue;
}

template <object_store Store, backend_adapter Backend>
Json::Value agent<Store, Backend>::abandon_run(const Json::Value& params) {
    const run_status status = runs_.find_status(string_member(params, "request_id"));
    if (status.run_ptr != nullptr) {
        stop_run(*status.run_ptr, "its caller disconnected");
    }
    return describe_run(status);
}

template <object_store Store, backend_adapter Backend>
Json::Value agent<Store, Backend>::describe_self() {
    Json::Value reply;
    reply["agent"] = incarnation_;
    reply["draining"] = runs_.is_draining();
    reply["revision"] = Json::Int64(revision_);
    reply["running"] = slots_.running();
    reply["queued"] = slots_.queued();
    return reply;
}

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::stop_run(run& r, const std::string& reason) {
    if (r.cancel_requested()) {
        return;
    }
    r.request_cancel();
    const std::string id = r.assigned_ticket().request_id + "." + std::to_string(r.assigned_ticket().attempt);
    (void)backend_.cancel(id, registration_.fencing_number());
    Json::Value fields;
    fields["request_id"] = r.assigned_ticket().request_id;
    fields["reason"] = reason;
    log("run_stopped", fields);
}

} // namespace eelgrassgw
