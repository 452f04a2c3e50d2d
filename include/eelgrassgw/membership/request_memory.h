#pragma once

/// Stores and collects the ids of requests that ran at a backend server, for use after its agent has ended.
///
/// A request with a repeated idempotency key must find its earlier run. A running agent knows its own runs.
/// At a planned stop it writes their ids to the object API. If it was lost, the ids are collected from
/// routers and journals.

#include "eelgrassgw/base/decimal.h"
#include "eelgrassgw/journal/journal_store.h"
#include "eelgrassgw/membership/member.h"
#include "eelgrassgw/run/request_id.h"

#include <functional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Returns the key prefix of the objects that hold the stored request ids of `backend_server`.
std::string request_memory_prefix(const std::string& backend_server);

/// Encodes the ids of one stored object as JSON.
std::string request_memory_part_to_text(const std::vector<std::string>& request_ids);

/// Decodes the ids of one stored object. Fails with `malformed` if `text` is not valid JSON.
result<std::vector<std::string>> parse_request_memory_part(const std::string& text);

/// A function that asks an open router for the ids of the requests that it remembers: those that ran at the
/// backend server, and all those with an idempotency key.
using recent_requests_query = std::function<result<std::vector<std::string>>(const router_member& router)>;

/// Reads and writes the stored request ids. Thread-safe, because it keeps no state outside the store.
template <object_store Store>
class request_memory {
public:
    explicit request_memory(Store& store) : store_(store) {}

    /// Replaces the stored ids of `backend_server`. Safe to repeat. Precondition: there is only one writer at
    /// a time, which is the registered agent or the operator who declared it lost.
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

    /// Returns the stored ids of `backend_server`. Objects under keys that `write` never uses are passed
    /// over.
    result<std::vector<std::string>> read(const std::string& backend_server) {
        const std::string prefix = request_memory_prefix(backend_server);
        const result<object_changes> listed = store_.list(prefix);
        if (!listed) {
            return listed.error();
        }
        std::vector<std::string> ids;
        for (const stored_object& object : listed.value().changed) {
            if (!is_decimal(std::string_view(object.key).substr(prefix.size()))) {
                continue;
            }
            const result<std::vector<std::string>> part = parse_request_memory_part(object.value);
            if (!part) {
                return part.error();
            }
            ids.insert(ids.end(), part.value().begin(), part.value().end());
        }
        return ids;
    }

    /// Collects the ids of the requests that may have run at `backend_server` from three sources: the stored
    /// ids, the memory of open routers, and the journals of closed routers. Fails if any source is
    /// unreachable or unreadable, because the collection would be incomplete.
    result<std::vector<std::string>> collect(const std::string& backend_server,
                                             const recent_requests_query& query_router) {
        result<std::vector<std::string>> ids = read(backend_server);
        const result<object_changes> routers = store_.list(routers_prefix);
        if (!ids || !routers) {
            return ids ? routers.error() : ids.error();
        }
        for (const stored_object& object : routers.value().changed) {
            const result<router_member> router = router_member::from_object(object);
            if (!router && is_router_key(object.key)) {
                return router.error();
            }
            if (!router) {
                continue; // Another writer left the object; no router is known by it.
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
    /// An id takes 36 bytes, and a stored value holds up to 1 MB.
    static constexpr std::size_t ids_per_part = 20000;

    static object_version find_version(const object_changes& listed, const std::string& key) {
        for (const stored_object& object : listed.changed) {
            if (object.key == key) {
                return object.version;
            }
        }
        return absent_version;
    }

    /// Removes the parts of an earlier, longer list of ids, starting with number `first_part`.
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

    /// Returns the ids in the journal of a closed router: those of requests that ran at the backend server,
    /// and all those with a caller's key.
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
