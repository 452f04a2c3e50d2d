#include "eelgrassgw/ledger/audit.h"

#include <set>

namespace eelgrassgw {

namespace {

using journals = std::map<std::string, std::vector<stored_object>>; // The key is the incarnation.

journals group_by_incarnation(const std::vector<stored_object>& objects) {
    journals grouped;
    const std::size_t begin = std::string(journal_prefix).size();
    for (const stored_object& object : objects) {
        const std::size_t end = object.key.find('/', begin);
        grouped[object.key.substr(begin, end - begin)].push_back(object);
    }
    return grouped;
}

/// Computes the totals and differences of one audit.
class auditor {
public:
    result<audit_report> run(const audit_input& input) {
        for (const stored_object& object : input.ledger) {
            const result<ledger_shard> shard = ledger_shard::from_text(object.value);
            if (!shard) {
                return make_failure(errc::malformed, "read ledger", object.key, shard.error().message);
            }
            add_shard(shard.value());
        }
        const journals before = group_by_incarnation(input.journals_before);
        for (const auto& [incarnation, objects] : group_by_incarnation(input.journals_after)) {
            const auto earlier = before.find(incarnation);
            const result<done> added =
                add_journal(incarnation, objects,
                            earlier == before.end() ? std::vector<stored_object>{} : earlier->second);
            if (!added) {
                return added.error();
            }
        }
        compare();
        return std::move(report_);
    }

private:
    void add_shard(const ledger_shard& shard) {
        for (const auto& [name, account] : shard.budgets()) {
            audited_budget& audited = budgets_[name];
            audited.budget = name;
            audited.customer = account.customer;
            audited.paid = account.paid;
            audited.settled = account.settled;
            audited.withheld = account.withheld;
            audited.allowances = shard.allowances_on(name);
            audited.free = shard.free_tokens(name);
            tokens paid_in = 0;
            for (const auto& [id, amount] : account.top_ups) {
                paid_in += amount;
            }
            if (paid_in != account.paid) {
                differ(name, "top-ups sum to " + std::to_string(paid_in) + ", paid is " +
                                 std::to_string(account.paid));
            }
        }
        for (const auto& [holder, held] : shard.holders()) {
            for (const auto& [name, account] : shard.budgets()) {
                watermarks_[holder + " " + name] = held.folded_through;
            }
        }
    }

    result<done> add_journal(const std::string& incarnation, const std::vector<stored_object>& after,
                             const std::vector<stored_object>& before) {
        const result<journal_contents> now = to_journal_contents(after);
        const result<journal_contents> then = to_journal_contents(before);
        if (!now || !then) {
            return now ? then.error() : now.error();
        }
        for (const journal_segment& segment : now.value().segments) {
            const bool was_there = segment.number < then.value().next_number();
            add_segment(incarnation, segment, segment.number, was_there);
        }
        if (now.value().recovery) {
            add_segment(incarnation, *now.value().recovery, now.value().recovery_number(),
                        then.value().recovery.has_value());
        }
        return done{};
    }

    void add_segment(const std::string& incarnation, const journal_segment& segment, std::int64_t number,
                     bool was_there_before) {
        for (const billing_record& record : segment.records) {
            ++report_.records;
            check_once(record);
            audited_budget& audited = budgets_[record.budget];
            audited.budget = record.budget;
            const auto watermark = watermarks_.find(incarnation + " " + record.budget);
            const bool is_folded =
                watermark == watermarks_.end() ? was_there_before : number <= watermark->second;
            if (is_folded) {
                audited.journalled += record.billed;
                audited.journalled_withheld += record.withheld;
            } else {
                audited.not_yet_folded += record.billed + record.withheld;
            }
        }
    }

    void check_once(const billing_record& record) {
        if (record.billed > 0 && !billed_.insert(record.request_id).second) {
            differ(record.budget, "request \"" + record.request_id + "\" is billed more than once");
        }
    }

    void compare() {
        for (auto& [name, audited] : budgets_) {
            if (audited.settled != audited.journalled) {
                differ(name, "the ledger has settled " + std::to_string(audited.settled) +
                                 ", the journal says " + std::to_string(audited.journalled));
            }
            audited.withheld_unrecorded = audited.withheld - audited.journalled_withheld;
            if (audited.withheld_unrecorded < 0) {
                differ(name, "the ledger withholds " + std::to_string(audited.withheld) +
                                 ", the journal says " + std::to_string(audited.journalled_withheld));
            }
            if (audited.free < 0) {
                differ(name, "is overdrawn by " + std::to_string(-audited.free) + " tokens");
            }
            if (audited.not_yet_folded > audited.allowances) {
                differ(name, "has " + std::to_string(audited.not_yet_folded) +
                                 " tokens to fold, and allowances of " + std::to_string(audited.allowances));
            }
            report_.budgets.push_back(audited);
        }
    }

    void differ(const std::string& budget, const std::string& what) {
        report_.differences.push_back("budget \"" + budget + "\": " + what);
    }

    audit_report report_;
    std::map<std::string, audited_budget> budgets_;
    std::map<std::string, std::int64_t> watermarks_; ///< Last folded segment, by holder and budget.
    std::set<std::string> billed_;
};

} // namespace

result<audit_report> audit_ledger(const audit_input& input) {
    return auditor().run(input);
}

} // namespace eelgrassgw
