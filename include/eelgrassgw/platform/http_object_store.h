#pragma once

/// HTTP client of the object API; docs/reference.md lists its calls.

#include "eelgrassgw/platform/object_store.h"
#include "eelgrassgw/transport/http_client.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace eelgrassgw {

/// Number of calls of each kind. A watch counts as one call, regardless of how long it waits.
struct store_call_counts {
    std::uint64_t gets = 0;
    std::uint64_t puts = 0;
    std::uint64_t removes = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;   ///< Number of calls without a complete reply.
    std::uint64_t body_bytes = 0; ///< Number of body bytes sent and received, without HTTP headers.
};

/// Implements `object_store`. Each call makes a single attempt: retries are up to the callers, because only
/// they know the consequences of a lost answer. All methods are thread-safe.
class http_object_store {
public:
    http_object_store(endpoint api, http_timeouts timeouts);

    result<std::optional<stored_object>> get(const std::string& key);
    result<object_version> put(const std::string& key, const std::string& value, object_version expected);
    result<done> remove(const std::string& key, object_version expected);
    result<object_changes> list(const std::string& prefix);
    result<object_changes> watch(const std::string& prefix, object_version since,
                                 std::chrono::milliseconds wait);

    /// Returns the numbers of calls since construction.
    store_call_counts counts() const;

private:
    /// Sends a conditional write and returns the object's new version.
    result<object_version> write(http_request request, object_version expected);
    result<http_response> call(http_request request, const http_timeouts& timeouts);

    http_connection_pool pool_;
    http_timeouts timeouts_;
    std::atomic<std::uint64_t> gets_{0};
    std::atomic<std::uint64_t> puts_{0};
    std::atomic<std::uint64_t> removes_{0};
    std::atomic<std::uint64_t> lists_{0};
    std::atomic<std::uint64_t> watches_{0};
    std::atomic<std::uint64_t> failures_{0};
    std::atomic<std::uint64_t> body_bytes_{0};
};

} // namespace eelgrassgw
