#pragma once

/// Defines an in-memory object store for tests that can be made to fail.

#include "eelgrassgw/platform/object_store.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace eelgrassgw::test {

/// Faults that a test can inject into the next write.
enum class write_fault {
    none,         ///< The write succeeds.
    unreachable,  ///< The write fails as unreachable and has no effect.
    lost_answer,  ///< The write is applied, but its outcome is reported as unknown.
    lost_request, ///< The write has no effect, but its outcome is reported as unknown.
    sent_twice    ///< The write is applied, but a version conflict is reported, as if it had arrived twice.
};

/// Implements `object_store` in memory, with faults that a test injects through the public members.
class memory_object_store {
public:
    result<std::optional<stored_object>> get(const std::string& key) {
        const std::lock_guard lock(mutex_);
        ++calls;
        if (down) {
            return down_failure();
        }
        const auto it = objects_.find(key);
        if (it == objects_.end()) {
            return std::optional<stored_object>();
        }
        return std::optional<stored_object>(it->second);
    }

    result<object_version> put(const std::string& key, const std::string& value, object_version expected) {
        {
            const std::lock_guard lock(mutex_);
            ++calls;
            if (down) {
                return down_failure();
            }
        }
        const auto hook = before_put; // The hook is copied because it may replace itself.
        if (hook) {
            hook(key);
        }
        const std::lock_guard lock(mutex_);
        const write_fault fault = std::exchange(next_write, write_fault::none);
        if (fault == write_fault::unreachable) {
            return down_failure();
        }
        if (fault == write_fault::lost_request) {
            return lost_failure();
        }
        const auto it = objects_.find(key);
        const object_version current = it == objects_.end() ? absent_version : it->second.version;
        if (current != expected) {
            return make_failure(errc::version_conflict, "put", "memory", key);
        }
        objects_[key] = {key, ++version_, value};
        changed_.notify_all();
        if (fault == write_fault::lost_answer) {
            return lost_failure();
        }
        if (fault == write_fault::sent_twice) {
            return make_failure(errc::version_conflict, "put", "memory", key);
        }
        return version_;
    }

    result<done> remove(const std::string& key, object_version expected) {
        const std::lock_guard lock(mutex_);
        const auto it = objects_.find(key);
        if (it == objects_.end() || it->second.version != expected) {
            return make_failure(errc::version_conflict, "remove", "memory", key);
        }
        objects_.erase(it);
        ++version_;
        return done{};
    }

    result<object_changes> list(const std::string& prefix) {
        const std::lock_guard lock(mutex_);
        ++calls;
        if (down) {
            return down_failure();
        }
        return changes_since(prefix, 0);
    }

    result<object_changes> watch(const std::string& prefix, object_version since,
                                 std::chrono::milliseconds wait) {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait, [&] { return !changes_since(prefix, since).changed.empty(); });
        return changes_since(prefix, since);
    }

    /// Whether `get`, `put` and `list` fail as unreachable.
    bool down = false;

    /// Fault that is injected into the next write only.
    write_fault next_write = write_fault::none;

    /// Hook that runs before each write with the key to be written. The mutex is not held, so the hook may
    /// call the store.
    std::function<void(const std::string& key)> before_put;

    /// Number of calls of `get`, `put` and `list`.
    std::uint64_t calls = 0;

private:
    static failure down_failure() {
        return make_failure(errc::unreachable, "call", "memory", "the store is down");
    }
    static failure lost_failure() {
        return make_failure(errc::outcome_unknown, "put", "memory", "no answer");
    }

    /// Returns the objects under `prefix` with a version above `since`; deleted objects are left out.
    object_changes changes_since(const std::string& prefix, object_version since) {
        object_changes changes;
        changes.store_version = version_;
        for (const auto& [key, object] : objects_) {
            if (key.starts_with(prefix) && object.version > since) {
                changes.changed.push_back(object);
            }
        }
        return changes;
    }

    std::mutex mutex_;
    std::condition_variable changed_; ///< Notified after each applied `put`.
    std::map<std::string, stored_object> objects_;
    object_version version_ = 0; ///< Version of the whole store, which grows with every write.
};

static_assert(object_store<memory_object_store>);

} // namespace eelgrassgw::test
