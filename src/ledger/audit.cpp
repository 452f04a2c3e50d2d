#include "eelgrassgw/ledger/audit.h"

#include <set>

namespace eelgrassgw {

namespace {

using journals_by_incarnation = std::map<std::string, std::vector<stored_object>>;

journals_by_incarnation group_by_incarnation(const std::vector<stored_object>& objects) {
    journals_by_incarnation grouped;
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
            if (!is_ledger_key(object.key)) {
                continue;
            }
            const result<ledger_shard> shard = ledger_shard::from_text(object.value);
            if (!shard) {
                return make_failure(errc::malformed, "read ledger", object.key, shard.error().message);
            }
            add_shard(shard.value());
        }
        const journals_by_incarnation before = group_by_incarnation(input.journals_before);
        for (const auto& [incarnation, objects] : group_by_incarnation(input.journals_after)) {
            const auto earlier = before.find(incarnation);
            const result<done> added =
                add_journal(incarnation, objects,
                            earlier == before.end() ? std::vector<stored_object>{} : earlier->second);
            if (!added) {
                return added.error();
            }
        }
        compare_totals();
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
            audited.allowances = shard.granted_tokens(name);
            audited.free = shard.free_tokens(name);
            tokens paid_in = 0;
            for (const auto& [id, amount] : account.top_ups) {
                paid_in += amount;
            }
            if (paid_in != account.paid) {
                add_difference(name, "top-ups sum to " + std::to_string(paid_in) + ", paid is " +
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
        const result<journal_contents> contents_after = to_journal_contents(after);
        const result<journal_contents> contents_before = to_journal_contents(before);
        if (!contents_after || !contents_before) {
            return contents_after ? contents_before.error() : contents_after.error();
        }
        for (const journal_segment& segment : contents_after.value().segments) {
            const bool existed_before = segment.number < contents_before.value().next_number();
            add_segment(incarnation, segment, segment.number, existed_before);
        }
        if (contents_after.value().recovery) {
            add_segment(incarnation, *contents_after.value().recovery,
                        contents_after.value().recovery_number(),
                        contents_before.value().recovery.has_value());
        }
        return done{};
    }

    void add_segment(const std::string& incarnation, const journal_segment& segment, std::int64_t number,
                     bool existed_before) {
        for (const billing_record& record : segment.records) {
            ++report_.records;
            check_billed_once(record);
            audited_budget& audited = budgets_[record.budget];
            audited.budget = record.budget;
            const auto watermark = watermarks_.find(incarnation + " " + record.budget);
            const bool is_folded =
                watermark == watermarks_.end() ? existed_before : number <= watermark->second;
            if (is_folded) {
                audited.journalled += record.billed;
                audited.journalled_withheld += record.withheld;
            } else {
                audited.not_yet_folded += record.billed + record.withheld;
            }
        }
    }

    void check_billed_once(const billing_record& record) {
        if (record.billed > 0 && !billed_request_ids_.insert(record.request_id).second) {
            add_difference(record.budget, "request \"" + record.request_id + "\" is billed more than once");
        }
    }

    void compare_totals() {
        for (auto& [name, audited] : budgets_) {
            if (audited.settled != audited.journalled) {
                add_difference(name, "the ledger has settled " + std::to_string(audited.settled) +
                                         ", the journal says " + std::to_string(audited.journalled));
            }
            audited.withheld_unrecorded = audited.withheld - audited.journalled_withheld;
            if (audited.withheld_unrecorded < 0) {
                add_difference(name, "the ledger withholds " + std::to_string(audited.withheld) +
                                         ", the journal says " + std::to_string(audited.journalled_withheld));
            }
            if (audited.free < 0) {
                add_difference(name, "is overdrawn by " + std::to_string(-audited.free) + " tokens");
            }
            if (audited.not_yet_folded > audited.allowances) {
                add_difference(name, "has " + std::to_string(audited.not_yet_folded) +
                                         " tokens to fold, and allowances of " +
                                         std::to_string(audited.allowances));
            }
            report_.budgets.push_back(audited);
        }
    }

    void add_difference(const std::string& budget, const std::string& what) {
        report_.differences.push_back("budget \"" + budget + "\": " + what);
    }

    audit_report report_;
    std::map<std::string, audited_budget> budgets_;
    std::map<std::string, std::int64_t> watermarks_; ///< Last folded segment, by holder and budget.
    std::set<std::string> billed_request_ids_;
};

} // namespace

result<audit_report> audit_ledger(const audit_input& input) {
    return auditor().run(input);
}

} // namespace eelgrassgw
