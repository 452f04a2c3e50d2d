#include "eelgrassgw/run/run_table.h"

#include "eelgrassgw/run/request_id.h"

namespace eelgrassgw {

namespace {

/// Returns true if `earlier` never ran, so that another ticket for the same request may replace it.
bool may_be_replaced(const run& earlier, const ticket& t) {
    return earlier.outcome().state == run_state::not_run && earlier.assigned_ticket().nonce != t.nonce;
}

} // namespace

result<accepted_ticket> run_table::accept(const ticket& t) {
    const std::lock_guard lock(mutex_);
    const auto it = runs_.find(t.request_id);
    if (it != runs_.end() && !may_be_replaced(*it->second, t)) {
        if (it->second->assigned_ticket().digest != t.digest) {
            return make_failure(errc::key_reused, "accept ticket", "",
                                "the idempotency key of request \"" + t.request_id +
                                    "\" was used with another body");
        }
        return accepted_ticket{it->second, false};
    }
    const result<accepted_ticket> taken = accept_new_request(t);
    if (!taken) {
        barred_nonces_[t.nonce] = std::chrono::steady_clock::now();
    }
    return taken;
}

result<accepted_ticket> run_table::accept_new_request(const ticket& t) {
    if (barred_nonces_.contains(t.nonce)) {
        return make_failure(errc::refused, "accept ticket", "", "this ticket was refused before");
    }
    if (ran_before_.contains(t.request_id)) {
        return make_failure(errc::ran_before, "accept ticket", "",
                            "request \"" + t.request_id + "\" may have run here before this agent restarted");
    }
    if (sealed_routers_.contains(t.router)) {
        return make_failure(errc::fenced, "accept ticket", "", "router \"" + t.router + "\" is sealed");
    }
    if (draining_) {
        return make_failure(errc::draining, "accept ticket", "", "this backend server is leaving");
    }
    auto accepted = std::make_shared<run>(t);
    runs_[t.request_id] = accepted;
    return accepted_ticket{std::move(accepted), true};
}

void run_table::mark_ran_before(const std::vector<std::string>& request_ids) {
    const std::lock_guard lock(mutex_);
    for (const std::string& id : request_ids) {
        if (!runs_.contains(id)) {
            ran_before_[id] = std::chrono::steady_clock::now();
        }
    }
}

std::vector<std::string> run_table::caller_keyed_request_ids() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> found;
    for (const auto& [id, entry] : runs_) {
        if (has_caller_key(id) && entry->outcome().state != run_state::not_run) {
            found.push_back(id);
        }
    }
    for (const auto& [id, since] : ran_before_) {
        if (has_caller_key(id)) {
            found.push_back(id);
        }
    }
    return found;
}

void run_table::bar_nonce(const std::string& nonce) {
    const std::lock_guard lock(mutex_);
    barred_nonces_[nonce] = std::chrono::steady_clock::now();
}

run_status run_table::find_status(const std::string& request_id) const {
    const std::lock_guard lock(mutex_);
    return find_status_locked(request_id);
}

run_status run_table::find_status_locked(const std::string& request_id) const {
    const auto it = runs_.find(request_id);
    if (it != runs_.end()) {
        return {true, it->second, false, false};
    }
    return {false, nullptr, false, ran_before_.contains(request_id)};
}

run_status run_table::bar_ticket(const std::string& request_id, const std::string& nonce) {
    const std::lock_guard lock(mutex_);
    run_status found = find_status_locked(request_id);
    if (found.run_ptr == nullptr || found.run_ptr->assigned_ticket().nonce != nonce) {
        barred_nonces_[nonce] = std::chrono::steady_clock::now();
    }
    found.barred = found.run_ptr == nullptr;
    return found;
}

void run_table::seal_router(const std::string& router) {
    const std::lock_guard lock(mutex_);
    sealed_routers_.insert(router);
}

std::vector<std::shared_ptr<run>> run_table::unjournalled_runs(const std::string& router) const {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<run>> found;
    for (const auto& [id, entry] : runs_) {
        if (entry->assigned_ticket().router == router && !entry->is_journalled()) {
            found.push_back(entry);
        }
    }
    return found;
}

void run_table::mark_journalled(const std::vector<std::string>& request_ids) {
    const std::lock_guard lock(mutex_);
    for (const std::string& id : request_ids) {
        const auto it = runs_.find(id);
        if (it != runs_.end()) {
            it->second->mark_journalled();
        }
    }
}

void run_table::start_draining() {
    const std::lock_guard lock(mutex_);
    draining_ = true;
}

bool run_table::is_draining() const {
    const std::lock_guard lock(mutex_);
    return draining_;
}

std::vector<std::shared_ptr<run>> run_table::active_runs() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<run>> found;
    for (const auto& [id, entry] : runs_) {
        if (!is_final(entry->outcome().state)) {
            found.push_back(entry);
        }
    }
    return found;
}

bool run_table::all_journalled() const {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, entry] : runs_) {
        if (!entry->is_journalled()) {
            return false;
        }
    }
    return true;
}

void run_table::expire(steady_time now) {
    const std::lock_guard lock(mutex_);
    std::size_t kept_bytes = 0;
    for (auto it = runs_.begin(); it != runs_.end();) {
        run& entry = *it->second;
        if (!is_final(entry.outcome().state) || !entry.is_journalled()) {
            ++it;
            continue;
        }
        const auto age = now - entry.ended_at();
        if (age > options_.record_retention) {
            it = runs_.erase(it);
            continue;
        }
        kept_bytes += entry.output_size();
        if (!entry.output_dropped() &&
            (age > options_.output_retention || kept_bytes > options_.max_output_bytes)) {
            kept_bytes -= entry.output_size();
            entry.drop_output();
        }
        ++it;
    }
    const auto is_old = [&](const auto& entry) {
        return now - entry.second > options_.record_retention;
    };
    std::erase_if(ran_before_, is_old);
    std::erase_if(barred_nonces_, is_old);
}

std::size_t run_table::size() const {
    const std::lock_guard lock(mutex_);
    return runs_.size();
}

billing_record make_billing_record(const run& ended, const std::string& agent) {
    const run_outcome outcome = ended.outcome();
    billing_record record;
    record.request_id = ended.assigned_ticket().request_id;
    record.customer = ended.assigned_ticket().customer;
    record.budget = ended.assigned_ticket().budget;
    record.agent = agent;
    record.attempt = ended.assigned_ticket().attempt;
    record.outcome = to_text(outcome.state);
    record.billed = outcome.used;
    record.withheld = outcome.withheld;
    record.reason = outcome.withheld > 0 ? outcome.message : "";
    return record;
}

} // namespace eelgrassgw
