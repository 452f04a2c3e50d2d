#pragma once

/// The platform's object API as the project uses it: versions, conditional updates, watches.
///
/// Another platform is served by another class that meets the concept `object_store`.

#include "eelgrassgw/base/failure.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Grows with every write of the whole store; 0 means "absent".
using object_version = std::uint64_t;

constexpr object_version absent_version = 0;

struct stored_object {
    std::string key;
    object_version version = absent_version;
    std::string value;
};

/// What changed under a prefix since a store version.
struct object_changes {
    std::vector<stored_object> changed; ///< A deleted object has version 0.
    object_version store_version = 0;   ///< Where the next watch goes on.
};

/// A store of versioned objects. All calls are thread-safe.
///
/// Errors: `unreachable` (no effect), `outcome_unknown` (a write may have taken effect, now or later),
/// `version_conflict` (the object has another version than expected).
template <class T>
concept object_store = requires(T store, const std::string& text, object_version version,
                                std::chrono::milliseconds wait) {
    { store.get(text) } -> std::same_as<result<std::optional<stored_object>>>;
    { store.put(text, text, version) } -> std::same_as<result<object_version>>;
    { store.remove(text, version) } -> std::same_as<result<done>>;
    { store.list(text) } -> std::same_as<result<object_changes>>;
    { store.watch(text, version, wait) } -> std::same_as<result<object_changes>>;
};

} // namespace eelgrassgw
