#include "gateway/send_record.h"

#include "eelgrassgw/base/not_run_status.h"

namespace eelgrassgw {

refusal_reason send_record::choose_reason(refusal_reason wanted) const {
    const bool promises = promises_not_run(static_cast<unsigned>(http_status_of(wanted)));
    if (!promises || !may_have_run()) {
        return wanted;
    }
    if (wanted == refusal_reason::caller_deadline) {
        return refusal_reason::timeout;
    }
    return has_earlier_attempt_ ? refusal_reason::already_sent : refusal_reason::backend_failed;
}

} // namespace eelgrassgw
