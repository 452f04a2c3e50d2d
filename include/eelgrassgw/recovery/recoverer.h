#pragma once

/// Recovery of a router incarnation that vanished: bills what it left, and frees what is provably unspent.

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

/// An agent's answer to a seal.
struct seal_answer {
    std::string agent; ///< Incarnation that answered.
    int running = 0;   ///< Runs of the sealed router that go on.
    std::vector<billing_record> records;
};

/// How far a recovery came.
struct recovery_progress {
    bool finished = false;
    std::string waiting_for; ///< Names what it waits for; empty where finished.
};

/// Asks one agent to seal a router, or tells it which records a journal has.
struct agent_port {
    std::function<result<seal_answer>(const agent_member&, const std::string& router)> seal;
    std::function<bool(const agent_member&, const std::vector<std::string>& request_ids)> mark_journalled;
};

/// Decides which records of a dead router go into its recovery segment: those that its journal lacks, one
/// bill for each request. Tokens of a second attempt are withheld, since the request is billed already.
std::vector<billing_record> missing_records(const journal_contents& journal,
                                            const std::vector<billing_record>& collected);

/// Every step is safe to repeat and to race with other recoverers, and may be cut off anywhere. Thread-safe.
template <object_store Store>
class recoverer {
public:
    recoverer(Store& store, agent_port agents, unsigned ledger_shards)
        : store_(store), journals_(store), agents_(std::move(agents)), ledger_shards_(ledger_shards) {}

    /// Recovers `router` as far as the agents answer. Errors: the object API cannot be asked; call again.
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
            note(router, collected.waiting_for);
            return recovery_progress{false, collected.waiting_for};
        }
        failpoint("recovery_collected");
        return settle(router, journal.value(), collected);
    }

    /// Frees allowances of closed routers. Such a holder can only come from a router that was paused in the
    /// middle of its first grant in a shard and woke up after its recovery; agents have sealed it, so none of
    /// it is spent. The result is the number of holders.
    result<std::size_t> release_strays() {
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
            const result<std::size_t> in_shard = release_strays_in(*object.value(), closed.value());
            if (!in_shard) {
                return in_shard;
            }
            released += in_shard.value();
        }
        return released;
    }

private:
    static constexpr std::size_t most_asked_at_once = 32;

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

    result<std::size_t> release_strays_in(const stored_object& object, const std::set<std::string>& closed) {
        result<ledger_shard> ledger = ledger_shard::from_text(object.value);
        if (!ledger) {
            return ledger.error();
        }
        std::vector<std::string> strays;
        for (const auto& [holder, held] : ledger.value().holders()) {
            if (closed.contains(holder)) {
                strays.push_back(holder);
            }
        }
        for (const std::string& holder : strays) {
            ledger.value().close_holder(holder);
        }
        if (strays.empty()) {
            return std::size_t{0};
        }
        const result<object_version> written =
            store_.put(object.key, ledger.value().to_text(), object.version);
        if (!written) {
            return written.error();
        }
        return strays.size();
    }

    struct collected_records {
        std::vector<billing_record> records;
        std::map<std::string, std::vector<std::string>> ids_by_agent; ///< By backend server.
        std::string waiting_for;
        std::string withhold_reason; ///< Why unspent allowances cannot be proved unspent; empty otherwise.
        std::vector<agent_member> agents;
    };

    /// Seals the router's entry: agents that look it up from now on refuse its tickets.
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

    /// Asks every agent, after the seal: one that registers later looks the router up and finds it sealed.
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
            check_lost(agent.value(), router, journal, collected);
            if (agent.value().state != member_state::closed) {
                open.push_back(agent.value());
            }
        }
        const std::vector<result<seal_answer>> answers = seal_all(open, router);
        for (std::size_t i = 0; i < open.size(); ++i) {
            take_in(open[i], answers[i], collected);
        }
        return collected;
    }

    /// Asks many agents at once, so that those which do not answer cost the time of one.
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
        for (std::size_t i = 0; i < std::min(open.size(), most_asked_at_once); ++i) {
            threads.emplace_back(ask);
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        return answers;
    }

    static void take_in(const agent_member& agent, const result<seal_answer>& answer,
                        collected_records& collected) {
        if (!answer || answer.value().agent != agent.incarnation) {
            collected.waiting_for =
                "agent \"" + agent.incarnation + "\" at " + agent.address.text() + ", which does not answer";
            return;
        }
        if (answer.value().running > 0) {
            collected.waiting_for = "agent \"" + agent.incarnation + "\", where " +
                                    std::to_string(answer.value().running) + " runs go on";
            return;
        }
        for (const billing_record& record : answer.value().records) {
            collected.records.push_back(record);
            collected.ids_by_agent[agent.backend_server].push_back(record.request_id);
        }
        collected.agents.push_back(agent);
    }

    static void check_lost(const agent_member& agent, const std::string& router,
                           const journal_contents& journal, collected_records& collected) {
        for (const lost_incarnation& lost : agent.lost) {
            const bool concerned =
                std::find(lost.routers.begin(), lost.routers.end(), router) != lost.routers.end();
            if (concerned && !is_acknowledged(journal, lost.incarnation)) {
                collected.withhold_reason = "agent \"" + lost.incarnation + "\" was lost with its records";
            }
        }
    }

    static bool is_acknowledged(const journal_contents& journal, const std::string& agent) {
        for (const journal_segment& segment : journal.segments) {
            const auto& settled = segment.lost_agents;
            if (std::find(settled.begin(), settled.end(), agent) != settled.end()) {
                return true;
            }
        }
        return false;
    }

    result<recovery_progress> settle(const std::string& router, const journal_contents& journal,
                                     const collected_records& collected) {
        journal_segment segment;
        segment.incarnation = router;
        segment.number = journal.recovery_number();
        segment.writer = "recovery";
        segment.records = missing_records(journal, collected.records);
        const result<journal_segment> in_force = journals_.add_recovery(segment);
        if (!in_force) {
            return in_force.error();
        }
        failpoint("recovery_segment_written");
        for (unsigned i = 0; i < ledger_shards_; ++i) {
            const result<done> closed = close_in_shard(i, router, journal, in_force.value(), collected);
            if (!closed) {
                return closed.error();
            }
        }
        failpoint("recovery_ledger_settled");
        const std::string not_told = tell_agents(collected);
        if (!not_told.empty()) {
            note(router, not_told);
            return recovery_progress{false, not_told};
        }
        return close_entry(router, in_force.value(), collected);
    }

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
            const result<done> folded = fold_everything(ledger.value(), shard, router, journal, recovery);
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
                return written.error(); // A lost answer is settled by the next call, which finds no holder.
            }
        }
    }

    result<done> fold_everything(ledger_shard& ledger, unsigned shard, const std::string& router,
                                 const journal_contents& journal, const journal_segment& recovery) {
        for (const journal_segment& segment : journal.segments) {
            const result<done> folded =
                ledger.fold(router, segment.number, spends_of(segment.records, shard, ledger_shards_));
            if (!folded) {
                return folded;
            }
        }
        return ledger.fold(router, journal.recovery_number(),
                           spends_of(recovery.records, shard, ledger_shards_));
    }

    /// Agents keep their records until they hear that a journal has them. Returns who did not hear.
    std::string tell_agents(const collected_records& collected) {
        std::string not_told;
        for (const agent_member& agent : collected.agents) {
            const auto it = collected.ids_by_agent.find(agent.backend_server);
            if (it != collected.ids_by_agent.end() && !agents_.mark_journalled(agent, it->second)) {
                not_told = "agent \"" + agent.incarnation + "\" to hear that its records are journalled";
            }
        }
        return not_told;
    }

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

    /// Shows operators what recovery waits for. Best effort: the next round writes it again.
    void note(const std::string& router, const std::string& waiting_for) {
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
    agent_port agents_;
    unsigned ledger_shards_;
};

} // namespace eelgrassgw
