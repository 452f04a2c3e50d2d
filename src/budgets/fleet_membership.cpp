#include "budgets/fleet_membership.h"

#include <algorithm>
#include <map>

namespace eelgrassgw {

std::vector<std::string> routers_that_may_run(const budget_ledger& ledger) {
    const auto recent = ledger.recent_writers(budget_ledger::active_router_window);
    std::map<std::string, std::int64_t> last_write_by_address;
    for (const auto& [router, last] : recent) {
        std::int64_t& newest = last_write_by_address[last.address];
        newest = std::max(newest, last.written_at_ms);
    }
    std::vector<std::string> routers;
    for (const auto& [router, last] : recent) {
        const bool is_replaced =
            !last.address.empty() && last.written_at_ms < last_write_by_address[last.address];
        if (!last.closed && !is_replaced) {
            routers.push_back(router);
        }
    }
    return routers;
}

} // namespace eelgrassgw
