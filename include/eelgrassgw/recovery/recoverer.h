#pragma once

/// Recovers a router incarnation that has failed: bills its unrecorded requests and frees the allowances that
/// are provably unspent.

#include "eelgrassgw/base/failpoint.h"
#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/log.h"
#include "eelgrassgw/journal/journal_store.h"
#include "eelgrassgw/membership/router_registration.h"

#include <atomic>
#include <functional>
#include <map>
#include <set>
#include <thread>

namespace eelgrassgw {

/// An agent's answer to the request to seal a router.
struct seal_answer {
    std::string agent;                   ///< Incarnation of the agent that answered.
    int unfinished_runs = 0;             ///< Number of the sealed router's runs that have not ended.
    std::vector<billing_record> records; ///< Records of the sealed router's runs that have ended.
};

/// The progress of a recovery.
struct recovery_progress {
    bool finished = false;
    std::string waiting_for; ///< Description of what the recovery waits for, or empty if it is finished.
};

/// The calls that recovery makes to agents.
struct agent_calls {
    /// Asks an agent to refuse the router's tickets from now on and to return its records.
    std::function<result<seal_answer>(const agent_member&, const std::string& router)> seal;

    /// Tells an agent which records are journalled. Returns whether the agent has confirmed it.
    std::function<bool(const agent_member&, const std::vector<std::string>& request_ids)> mark_journalled;
};

/// Returns the records for a failed router's recovery segment: those that its journal lacks, with at most one
/// bill for each request. The tokens of any other attempt are withheld, because the request is already
/// billed.
std::vector<billing_record> missing_records(const journal_contents& journal,
                                            const std::vector<billing_record>& collected);

/// Recovers failed routers. Every step is idempotent, may run concurrently with other recoverers and may be
/// interrupted at any point. The class is thread-safe.
template <object_store Store>
class recoverer {
public:
    recoverer(Store& store, agent_calls agents, unsigned ledger_shards)
        : store_(store), journals_(store), agents_(std::move(agents)), ledger_shards_(ledger_shards) {}

    /// Recovers `router` as far as the agents' answers allow. Fails if the object API is unreachable; the
    /// caller should then call again.
    result<recovery_progress> recover(const std::string& router) {
        const result<done> sealed = seal_entry(router);
        if (!sealed) {
            return sealed.error();
        }
        failpoint("recovery_entry_sealed");
        const result<journal_contents> journal = journals_.seal(router, "recovery-" + random_id());
        if (!journal) {
            return journal.error();
        }
        failpoint("recovery_journal_sealed");
        collected_records collected = collect(router, journal.value());
        if (!collected.waiting_for.empty()) {
            write_recovery_note(router, collected.waiting_for);
            return recovery_progress{false, collected.waiting_for};
        }
        failpoint("recovery_collected");
        return settle_and_close(router, journal.value(), collected);
    }

    /// Frees allowances of closed routers and returns the number of holders removed. Such a holder exists
    /// only if a router was paused during its first grant in a shard and resumed after its recovery. The
    /// agents have sealed that router, so none of the allowance is spent.
    result<std::size_t> release_orphaned_holders() {
        const result<std::set<std::string>> closed = closed_routers();
        if (!closed) {
            return closed.error();
        }
        std::size_t released = 0;
        for (unsigned i = 0; i < ledger_shards_; ++i) {
            const result<std::optional<stored_object>> object = store_.get(ledger_key(i));
            if (!object) {
                return object.error();
            }
            if (!object.value()) {
                continue;
            }
            const result<std::size_t> in_shard = release_orphaned_holders_in(*object.value(), closed.value());
            if (!in_shard) {
                return in_shard;
            }
            released += in_shard.value();
        }
        return released;
    }

private:
    static constexpr std::size_t max_parallel_seal_requests = 32;

    result<std::set<std::string>> closed_routers() {
        const result<object_changes> listed = store_.list(routers_prefix);
        if (!listed) {
            return listed.error();
        }
        std::set<std::string> closed;
        for (const stored_object& object : listed.value().changed) {
            const result<router_member> router = router_member::from_object(object);
            if (router && router.value().state == member_state::closed) {
                closed.insert(router.value().incarnation);
            }
        }
        return closed;
    }

    result<std::size_t> release_orphaned_holders_in(const stored_object& object,
                                                    const std::set<std::string>& closed) {
        result<ledger_shard> ledger = ledger_shard::from_text(object.value);
        if (!ledger) {
            return ledger.error();
        }
        std::vector<std::string> orphaned_holders;
        for (const auto& [holder, held] : ledger.value().holders()) {
            if (closed.contains(holder)) {
                orphaned_holders.push_back(holder);
            }
        }
        for (const std::string& holder : orphaned_holders) {
            ledger.value().close_holder(holder);
        }
        if (orphaned_holders.empty()) {
            return std::size_t{0};
        }
        const result<object_version> written =
            store_.put(object.key, ledger.value().to_text(), object.version);
        if (!written) {
            return written.error();
        }
        return orphaned_holders.size();
    }

    /// The agents' answers about one router.
    struct collected_records {
        std::vector<billing_record> records;
        /// Request ids of the records, by backend server.
        std::map<std::string, std::vector<std::string>> request_ids_by_backend_server;
        std::string waiting_for;          ///< Description of what prevents recovery, or empty.
        std::string withhold_reason;      ///< Reason for withholding the allowances, or empty.
        std::vector<agent_member> agents; ///< Agents that have sealed the router.
    };

    /// Marks the router's entry as sealed. Agents that read the entry from now on refuse the router's
    /// tickets.
    result<done> seal_entry(const std::string& router) {
        if (failpoint("recovery_seal_entry") == failpoint_action::skip) {
            return done{};
        }
        const result<router_member> entry = read_entry(router);
        if (!entry) {
            return entry.error();
        }
        if (entry.value().state == member_state::sealed) {
            return done{};
        }
        if (entry.value().state == member_state::closed) {
            return make_failure(errc::not_found, "recover router", router, "it is closed");
        }
        router_member sealed = entry.value();
        sealed.state = member_state::sealed;
        return write_entry(sealed);
    }

    result<router_member> read_entry(const std::string& router) {
        const result<std::optional<stored_object>> object = store_.get(router_key(router));
        if (!object) {
            return object.error();
        }
        if (!object.value()) {
            return make_failure(errc::not_found, "read router entry", "",
                                "router \"" + router + "\" has no entry");
        }
        return router_member::from_object(*object.value());
    }

    result<done> write_entry(const router_member& entry) {
        const result<object_version> written =
            store_.put(router_key(entry.incarnation), entry.to_text(), entry.version);
        if (!written) {
            return written.error();
        }
        return done{};
    }

    /// Asks every registered agent for the router's records. The entry is sealed before that, so an agent
    /// that registers later reads the entry and refuses the router's tickets.
    collected_records collect(const std::string& router, const journal_contents& journal) {
        collected_records collected;
        const result<object_changes> listed = store_.list(agents_prefix);
        if (!listed) {
            collected.waiting_for = "the object API: " + listed.error().text();
            return collected;
        }
        std::vector<agent_member> open;
        for (const stored_object& object : listed.value().changed) {
            const result<agent_member> agent = agent_member::from_object(object);
            if (!agent) {
                continue;
            }
            check_lost_agents(agent.value(), router, journal, collected);
            if (agent.value().state != member_state::closed) {
                open.push_back(agent.value());
            }
        }
        const std::vector<result<seal_answer>> answers = seal_all(open, router);
        for (std::size_t i = 0; i < open.size(); ++i) {
            add_answer(open[i], answers[i], collected);
        }
        return collected;
    }

    /// Asks many agents in parallel, so that all unresponsive agents together cost a single timeout.
    std::vector<result<seal_answer>> seal_all(const std::vector<agent_member>& open,
                                              const std::string& router) const {
        const failure not_asked = make_failure(errc::unreachable, "seal", "", "not asked");
        std::vector<result<seal_answer>> answers(open.size(), result<seal_answer>(not_asked));
        std::atomic<std::size_t> next{0};
        const auto ask = [&] {
            for (std::size_t i = next++; i < open.size(); i = next++) {
                answers[i] = agents_.seal(open[i], router);
            }
        };
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < std::min(open.size(), max_parallel_seal_requests); ++i) {
            threads.emplace_back(ask);
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        return answers;
    }

    /// Adds one agent's answer to `collected`.
    static void add_answer(const agent_member& agent, const result<seal_answer>& answer,
                           collected_records& collected) {
        if (!answer || answer.value().agent != agent.incarnation) {
            collected.waiting_for =
                "agent \"" + agent.incarnation + "\" at " + agent.address.text() + ", which does not answer";
            return;
        }
        if (answer.value().unfinished_runs > 0) {
            collected.waiting_for = "agent \"" + agent.incarnation + "\", where " +
                                    std::to_string(answer.value().unfinished_runs) + " runs go on";
            return;
        }
        for (const billing_record& record : answer.value().records) {
            collected.records.push_back(record);
            collected.request_ids_by_backend_server[agent.backend_server].push_back(record.request_id);
        }
        collected.agents.push_back(agent);
    }

    /// Sets `withhold_reason` if a replaced agent was lost with records of the router.
    static void check_lost_agents(const agent_member& agent, const std::string& router,
                                  const journal_contents& journal, collected_records& collected) {
        for (const lost_incarnation& lost : agent.lost_incarnations) {
            const bool is_affected =
                std::find(lost.routers.begin(), lost.routers.end(), router) != lost.routers.end();
            if (is_affected && !is_acknowledged(journal, lost.incarnation)) {
                collected.withhold_reason = "agent \"" + lost.incarnation + "\" was lost with its records";
            }
        }
    }

    /// Returns whether the journal notes that the router has settled all its requests on the lost `agent`.
    static bool is_acknowledged(const journal_contents& journal, const std::string& agent) {
        for (const journal_segment& segment : journal.segments) {
            const auto& settled = segment.lost_agents;
            if (std::find(settled.begin(), settled.end(), agent) != settled.end()) {
                return true;
            }
        }
        return false;
    }

    /// Writes the recovery segment, folds the journal into the ledger and closes the router's entry.
    result<recovery_progress> settle_and_close(const std::string& router, const journal_contents& journal,
                                               const collected_records& collected) {
        journal_segment segment;
        segment.incarnation = router;
        segment.number = journal.recovery_number();
        segment.writer = "recovery";
        segment.records = missing_records(journal, collected.records);
        const result<journal_segment> stored_segment = journals_.add_recovery(segment);
        if (!stored_segment) {
            return stored_segment.error();
        }
        failpoint("recovery_segment_written");
        for (unsigned i = 0; i < ledger_shards_; ++i) {
            const result<done> closed = close_in_shard(i, router, journal, stored_segment.value(), collected);
            if (!closed) {
                return closed.error();
            }
        }
        failpoint("recovery_ledger_settled");
        const std::string waiting_for = notify_agents(collected);
        if (!waiting_for.empty()) {
            write_recovery_note(router, waiting_for);
            return recovery_progress{false, waiting_for};
        }
        return close_entry(router, stored_segment.value(), collected);
    }

    /// Folds the journal into one shard and closes the router's holder there.
    result<done> close_in_shard(unsigned shard, const std::string& router, const journal_contents& journal,
                                const journal_segment& recovery, const collected_records& collected) {
        for (;;) {
            const result<std::optional<stored_object>> object = store_.get(ledger_key(shard));
            if (!object) {
                return object.error();
            }
            if (!object.value()) {
                return done{};
            }
            result<ledger_shard> ledger = ledger_shard::from_text(object.value()->value);
            if (!ledger) {
                return ledger.error();
            }
            if (ledger.value().find_holder(router) == nullptr) {
                return done{};
            }
            const result<done> folded = fold_journal(ledger.value(), shard, router, journal, recovery);
            if (!folded) {
                log_refused_fold(router, folded.error());
                return folded;
            }
            if (collected.withhold_reason.empty()) {
                ledger.value().close_holder(router);
            } else {
                ledger.value().close_holder_withholding(router);
            }
            const result<object_version> written =
                store_.put(ledger_key(shard), ledger.value().to_text(), object.value()->version);
            if (written) {
                return done{};
            }
            if (!written.failed_with(errc::version_conflict)) {
                // If the write took effect all the same, the next call finds no holder and succeeds.
                return written.error();
            }
        }
    }

    result<done> fold_journal(ledger_shard& ledger, unsigned shard, const std::string& router,
                              const journal_contents& journal, const journal_segment& recovery) {
        for (const journal_segment& segment : journal.segments) {
            const result<done> folded =
                ledger.fold(router, segment.number, sum_spends(segment.records, shard, ledger_shards_));
            if (!folded) {
                return folded;
            }
        }
        return ledger.fold(router, journal.recovery_number(),
                           sum_spends(recovery.records, shard, ledger_shards_));
    }

    /// Tells the agents that their records are journalled, so that they can delete them. Returns a
    /// description of an agent that did not confirm it, or an empty string.
    std::string notify_agents(const collected_records& collected) {
        std::string waiting_for;
        for (const agent_member& agent : collected.agents) {
            const auto it = collected.request_ids_by_backend_server.find(agent.backend_server);
            if (it != collected.request_ids_by_backend_server.end() &&
                !agents_.mark_journalled(agent, it->second)) {
                waiting_for = "agent \"" + agent.incarnation + "\" to hear that its records are journalled";
            }
        }
        return waiting_for;
    }

    /// Marks the router's entry as closed and removes its heartbeat.
    result<recovery_progress> close_entry(const std::string& router, const journal_segment& recovery,
                                          const collected_records& collected) {
        result<router_member> entry = read_entry(router);
        if (!entry) {
            return entry.error();
        }
        if (entry.value().state != member_state::closed) {
            entry.value().state = member_state::closed;
            entry.value().recovery_note = collected.withhold_reason;
            const result<done> written = write_entry(entry.value());
            if (!written) {
                return written.error();
            }
        }
        remove_heartbeat(router);
        Json::Value fields;
        fields["router"] = router;
        fields["records"] = recovery.records.size();
        fields["withheld_because"] = collected.withhold_reason;
        log_event(log_level::info, "router_recovered", fields);
        return recovery_progress{true, ""};
    }

    void remove_heartbeat(const std::string& router) {
        const result<std::optional<stored_object>> object = store_.get(heartbeat_key(router));
        if (object && object.value()) {
            (void)store_.remove(heartbeat_key(router), object.value()->version);
        }
    }

    /// Writes what the recovery waits for into the router's entry and the log, for operators. Errors are
    /// ignored, because the next round writes the note again.
    void write_recovery_note(const std::string& router, const std::string& waiting_for) {
        result<router_member> entry = read_entry(router);
        if (!entry || entry.value().state != member_state::sealed ||
            entry.value().recovery_note == waiting_for) {
            return;
        }
        entry.value().recovery_note = waiting_for;
        (void)write_entry(entry.value());
        Json::Value fields;
        fields["router"] = router;
        fields["waiting_for"] = waiting_for;
        log_event(log_level::warning, "recovery_waits", fields);
    }

    void log_refused_fold(const std::string& router, const failure& cause) const {
        Json::Value fields;
        fields["router"] = router;
        fields["reason"] = cause.text();
        log_event(log_level::error, "recovery_fold_refused", fields);
    }

    Store& store_;
    journal_store<Store> journals_;
    agent_calls agents_;
    unsigned ledger_shards_;
};

} // namespace eelgrassgw
