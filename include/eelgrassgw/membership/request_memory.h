#pragma once

/// Which requests with a caller's own key ran at a backend server, once its agent is gone.
///
/// A repeated key must meet its earlier run. While an agent lives it knows its runs. When it stops as planned
/// it leaves their ids in the object API; where it was lost, they are collected from routers and journals.

#include "eelgrassgw/journal/journal_store.h"
#include "eelgrassgw/membership/member.h"
#include "eelgrassgw/run/request_id.h"

#include <functional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Prefix of the objects that hold the ids left behind at `backend_server`.
std::string request_memory_prefix(const std::string& backend_server);

/// One object's worth of ids, as JSON.
std::string request_memory_part_to_text(const std::vector<std::string>& request_ids);

/// The ids of one object. Errors: `malformed`.
result<std::vector<std::string>> parse_request_memory_part(const std::string& text);

/// Asks an open router which requests it remembers: those that ran at the backend server, and all with a key.
using recent_requests_query = std::function<result<std::vector<std::string>>(const router_member& router)>;

/// Thread-safe, since it keeps no state beside the store.
template <object_store Store>
class request_memory {
public:
    explicit request_memory(Store& store) : store_(store) {}

    /// Replaces what was left behind at `backend_server`. Safe to repeat. Precondition: one writer at a time,
    /// the agent that holds the registration or the operator who declared it lost.
    result<done> write(const std::string& backend_server, const std::vector<std::string>& request_ids) {
        const std::string prefix = request_memory_prefix(backend_server);
        const result<object_changes> existing = store_.list(prefix);
        if (!existing) {
            return existing.error();
        }
        std::size_t part = 0;
        for (std::size_t first = 0; first < request_ids.size() || part == 0; first += ids_per_part) {
            const std::size_t last = std::min(first + ids_per_part, request_ids.size());
            const std::vector<std::string> ids(request_ids.begin() + static_cast<std::ptrdiff_t>(first),
                                               request_ids.begin() + static_cast<std::ptrdiff_t>(last));
            const std::string key = prefix + std::to_string(part++);
            const result<object_version> written =
                store_.put(key, request_memory_part_to_text(ids), find_version(existing.value(), key));
            if (!written) {
                return written.error();
            }
        }
        return remove_parts_from(existing.value(), prefix, part);
    }

    /// What was left behind at `backend_server`.
    result<std::vector<std::string>> read(const std::string& backend_server) {
        const result<object_changes> listed = store_.list(request_memory_prefix(backend_server));
        if (!listed) {
            return listed.error();
        }
        std::vector<std::string> ids;
        for (const stored_object& object : listed.value().changed) {
            const result<std::vector<std::string>> part = parse_request_memory_part(object.value);
            if (!part) {
                return part.error();
            }
            ids.insert(ids.end(), part.value().begin(), part.value().end());
        }
        return ids;
    }

    /// Collects what may have run at `backend_server`: what was left behind, the memory of open routers and
    /// the journals of closed ones. Errors: somebody cannot be asked, so that the collection is not whole.
    result<std::vector<std::string>> collect(const std::string& backend_server,
                                             const recent_requests_query& query_router) {
        result<std::vector<std::string>> ids = read(backend_server);
        const result<object_changes> routers = store_.list(routers_prefix);
        if (!ids || !routers) {
            return ids ? routers.error() : ids.error();
        }
        for (const stored_object& object : routers.value().changed) {
            const result<router_member> router = router_member::from_object(object);
            if (!router) {
                return router.error();
            }
            const result<std::vector<std::string>> more =
                router.value().state == member_state::closed
                    ? read_journalled_ids(router.value(), backend_server)
                    : query_router(router.value());
            if (!more) {
                return more.error();
            }
            ids.value().insert(ids.value().end(), more.value().begin(), more.value().end());
        }
        return ids;
    }

private:
    static constexpr std::size_t ids_per_part = 20000; ///< 36 bytes each; a value holds up to a megabyte.

    static object_version find_version(const object_changes& listed, const std::string& key) {
        for (const stored_object& object : listed.changed) {
            if (object.key == key) {
                return object.version;
            }
        }
        return absent_version;
    }

    /// Removes the parts of an earlier, longer memory.
    result<done> remove_parts_from(const object_changes& listed, const std::string& prefix,
                                   std::size_t first_part) {
        for (const stored_object& object : listed.changed) {
            if (std::strtoull(object.key.c_str() + prefix.size(), nullptr, 10) < first_part) {
                continue;
            }
            const result<done> removed = store_.remove(object.key, object.version);
            if (!removed) {
                return removed.error();
            }
        }
        return done{};
    }

    /// Requests of a closed router's journal that ran at the backend server, and all with a caller's key.
    result<std::vector<std::string>> read_journalled_ids(const router_member& router,
                                                         const std::string& backend_server) {
        const result<journal_contents> journal = journal_store<Store>(store_).read(router.incarnation);
        if (!journal) {
            return journal.error();
        }
        std::vector<std::string> ids;
        for (const journal_segment& segment : journal.value().segments) {
            add_requests(segment, backend_server, ids);
        }
        if (journal.value().recovery) {
            add_requests(*journal.value().recovery, backend_server, ids);
        }
        return ids;
    }

    static void add_requests(const journal_segment& segment, const std::string& backend_server,
                             std::vector<std::string>& ids) {
        const std::string prefix = backend_server + "-";
        for (const billing_record& record : segment.records) {
            if (record.agent.starts_with(prefix) || has_caller_key(record.request_id)) {
                ids.push_back(record.request_id);
            }
        }
    }

    Store& store_;
};

} // namespace eelgrassgw
