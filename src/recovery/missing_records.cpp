#include "eelgrassgw/recovery/recoverer.h"

#include <set>

namespace eelgrassgw {

namespace {

bool by_latest_attempt(const billing_record& a, const billing_record& b) {
    return a.request_id != b.request_id ? a.request_id < b.request_id : a.attempt > b.attempt;
}

} // namespace

std::vector<billing_record> missing_records(const journal_contents& journal,
                                            const std::vector<billing_record>& collected) {
    std::vector<billing_record> sorted = collected;
    std::sort(sorted.begin(), sorted.end(), by_latest_attempt);
    std::vector<billing_record> missing;
    std::set<std::string> billed;
    for (billing_record& record : sorted) {
        if (journal.has_record(record.request_id, record.attempt)) {
            continue;
        }
        const bool has_bill = journal.has_bill(record.request_id) || billed.contains(record.request_id);
        if (has_bill && record.billed > 0) {
            record.withheld += record.billed;
            record.billed = 0;
            record.reason = "another attempt of the request is billed";
        }
        if (record.billed > 0) {
            billed.insert(record.request_id);
        }
        missing.push_back(record);
    }
    return missing;
}

} // namespace eelgrassgw
