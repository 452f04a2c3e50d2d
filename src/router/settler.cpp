#include "eelgrassgw/router/settler.h"

namespace eelgrassgw {

billing_record make_billing_record(const ticket& t, const run_outcome& outcome, bool superseded) {
    billing_record record;
    record.request_id = t.request_id;
    record.customer = t.customer;
    record.budget = t.budget;
    record.agent = t.agent;
    record.attempt = t.attempt;
    record.outcome = to_text(outcome.state);
    record.billed = outcome.used;
    record.withheld = outcome.withheld;
    record.reason = outcome.withheld > 0 ? outcome.message : "";
    if (superseded) {
        record.withheld += record.billed;
        record.billed = 0;
        record.reason = "another attempt serves the request";
    }
    return record;
}

} // namespace eelgrassgw
