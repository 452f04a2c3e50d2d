#pragma once

/// Interface to the platform's object API with versions, conditional writes and watches.
///
/// Support for another platform needs another class that satisfies the concept `object_store`.

#include "eelgrassgw/base/failure.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Version of an object or of the store, which increases with every write to the store.
using object_version = std::uint64_t;

/// Version of an object that does not exist.
constexpr object_version absent_version = 0;

/// An object with its key and version.
struct stored_object {
    std::string key;
    object_version version = absent_version;
    std::string value;
};

/// Objects under a prefix that changed since a store version.
struct object_changes {
    std::vector<stored_object> changed; ///< Changed objects; a deleted object has version 0.
    object_version store_version = 0;   ///< Store version from which the next watch continues.
};

/// Requirements for a store of versioned objects. All calls are thread-safe.
///
/// Errors: `unreachable` (the call had no effect), `outcome_unknown` (a write may have taken effect or may
/// still take effect), `version_conflict` (the object has another version than expected).
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
