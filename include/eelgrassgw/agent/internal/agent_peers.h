#pragma once

/// Member functions of `agent` that answer calls of the fleet.

namespace eelgrassgw {

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::add_rpc_methods() {
    rpc_.add("seal", [this](const Json::Value& params) { return seal(params); });
    rpc_.add("status", [this](const Json::Value& params) {
        return describe(runs_.status(string_member(params, "request_id")));
    });
    rpc_.add("bar", [this](const Json::Value& params) {
        return describe(runs_.bar(string_member(params, "request_id"), string_member(params, "nonce")));
    });
    rpc_.add("journalled", [this](const Json::Value& params) { return mark_journalled(params); });
    rpc_.add("abandon", [this](const Json::Value& params) { return abandon(params); });
    rpc_.add("drain", [this](const Json::Value&) {
        leave("an operator ordered it");
        return Json::Value(Json::objectValue);
    });
    rpc_.add("describe", [this](const Json::Value&) { return describe_self(); });
}

/// Recovery's question: from now on nothing of the router runs here; what of it is not yet journalled?
template <object_store Store, backend_adapter Backend>
Json::Value agent<Store, Backend>::seal(const Json::Value& params) {
    const std::string router = string_member(params, "router");
    if (failpoint("agent_seal") != failpoint_action::skip) {
        runs_.seal(router);
        const std::lock_guard lock(mutex_);
        admitted_routers_.erase(router);
    }
    Json::Value reply;
    reply["agent"] = incarnation_;
    reply["running"] = 0;
    reply["records"] = Json::arrayValue;
    for (const auto& entry : runs_.unjournalled(router)) {
        if (is_final(entry->outcome().state)) {
            reply["records"].append(record_of(*entry, incarnation_).to_json());
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
Json::Value agent<Store, Backend>::describe(const run_status& status) const {
    Json::Value reply;
    reply["agent"] = incarnation_;
    reply["known"] = status.known;
    reply["barred"] = status.barred;
    reply["ran_before"] = status.ran_before;
    reply["remembers_all"] = remembers_all_.load();
    if (status.the_run != nullptr) {
        reply["router"] = status.the_run->work().router;
        reply["nonce"] = status.the_run->work().nonce;
        reply["customer"] = status.the_run->work().customer;
        reply["digest"] = status.the_run->work().digest;
        reply["outcome"] = status.the_run->outcome().to_json();
    }
    return reply;
}

template <object_store Store, backend_adapter Backend>
Json::Value agent<Store, Backend>::mark_journalled(const Json::Value& params) {
    runs_.mark_journalled(string_elements(member(params, "request_ids")));
    return Json::objectValue;
}

template <object_store Store, backend_adapter Backend>
Json::Value agent<Store, Backend>::abandon(const Json::Value& params) {
    const run_status status = runs_.status(string_member(params, "request_id"));
    if (status.the_run != nullptr) {
        stop_run(*status.the_run, "its caller is gone");
    }
    return describe(status);
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
    const std::string id = r.work().request_id + "." + std::to_string(r.work().attempt);
    (void)backend_.cancel(id, registration_.fencing_number());
    Json::Value fields;
    fields["request_id"] = r.work().request_id;
    fields["reason"] = reason;
    log("run_stopped", fields);
}

} // namespace eelgrassgw
