#pragma once

/// A router incarnation's own entry and heartbeat in the object API.

#include "eelgrassgw/membership/member.h"

#include <mutex>

namespace eelgrassgw {

/// Key of the heartbeat object. It is apart from the entry, so that heartbeats wake no watcher.
std::string heartbeat_key(const std::string& incarnation);

/// Thread-safe.
template <object_store Store>
class router_registration {
public:
    router_registration(Store& store, router_member self) : store_(store), self_(std::move(self)) {}

    /// Creates the entry. Safe to repeat after a lost answer.
    result<done> register_now() {
        const std::lock_guard lock(mutex_);
        const result<done> written = write_entry(member_state::live);
        if (written) {
            registered_at_ = self_.version;
        }
        return written;
    }

    /// Version of the store at the registration; absent before it.
    object_version registered_at() const {
        const std::lock_guard lock(mutex_);
        return registered_at_;
    }

    /// Changes the state in the entry. Errors: `fenced` where recovery sealed this incarnation.
    result<done> set_state(member_state state) {
        const std::lock_guard lock(mutex_);
        return write_entry(state);
    }

    /// Shows other routers that this one lives. Errors: `fenced` where recovery sealed this incarnation.
    result<done> write_heartbeat() {
        const std::lock_guard lock(mutex_);
        const std::string text = std::to_string(++heartbeat_count_);
        const result<object_version> written =
            store_.put(heartbeat_key(self_.incarnation), text, heartbeat_version_);
        if (written) {
            heartbeat_version_ = written.value();
            return done{};
        }
        if (!written.failed_with(errc::version_conflict)) {
            return written.error();
        }
        return reread_heartbeat();
    }

    void remove_heartbeat() {
        const std::lock_guard lock(mutex_);
        (void)store_.remove(heartbeat_key(self_.incarnation), heartbeat_version_);
    }

private:
    result<done> write_entry(member_state state) {
        router_member changed = self_;
        changed.state = state;
        const std::string key = router_key(self_.incarnation);
        const result<object_version> written = store_.put(key, changed.to_text(), self_.version);
        if (written) {
            self_ = changed;
            self_.version = written.value();
            return done{};
        }
        if (!written.failed_with(errc::version_conflict)) {
            return written.error();
        }
        const result<std::optional<stored_object>> object = store_.get(key);
        if (!object) {
            return object.error();
        }
        if (object.value() && object.value()->value == changed.to_text()) {
            self_ = changed;
            self_.version = object.value()->version;
            return done{};
        }
        return make_failure(errc::fenced, "change router entry", "",
                            "recovery changed the entry of \"" + self_.incarnation + "\"");
    }

    /// After a lost answer the heartbeat may have a newer version of our own; a removed one means recovery.
    result<done> reread_heartbeat() {
        const result<std::optional<stored_object>> object = store_.get(heartbeat_key(self_.incarnation));
        if (!object) {
            return object.error();
        }
        if (!object.value() && heartbeat_version_ != absent_version) {
            return make_failure(errc::fenced, "heartbeat", "", "recovery removed the heartbeat");
        }
        heartbeat_version_ = object.value() ? object.value()->version : absent_version;
        return done{};
    }

    Store& store_;
    mutable std::mutex mutex_;
    router_member self_;
    object_version registered_at_ = absent_version;
    std::uint64_t heartbeat_count_ = 0;
    object_version heartbeat_version_ = absent_version;
};

} // namespace eelgrassgw
