#pragma once

/// Objects of the platform's store, as the router follows them.

#include "eelgrassgw/base/json.h"
#include "net/task.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

struct followed_object {
    std::string name;
    std::uint64_t revision = 0;
    Json::Value content;
};

struct followed_change {
    followed_object object;
    bool removed = false;
};

/// All objects of a kind, and the store's revision from which a watch goes on.
struct object_listing {
    std::vector<followed_object> objects;
    std::uint64_t revision = 0;
};

/// What changed since a revision.
struct object_change_list {
    std::vector<followed_change> changes;
    std::uint64_t revision = 0;
    bool history_lost = false; ///< The store no longer knows what changed: list again.
};

/// A store whose objects can be listed and watched.
template <class T>
concept followable_store = requires(T store, const std::string& kind, std::uint64_t since,
                                    std::chrono::milliseconds wait) {
    { store.list(kind) } -> std::same_as<task<result<object_listing>>>;
    { store.watch(kind, since, wait) } -> std::same_as<task<result<object_change_list>>>;
};

} // namespace eelgrassgw
