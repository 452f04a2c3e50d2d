#pragma once

/// Registration entry and heartbeat of a router incarnation in the object API.

#include "eelgrassgw/membership/member.h"

#include <mutex>

namespace eelgrassgw {

/// Returns the key of the heartbeat object. The heartbeat is separate from the entry, so that it does not
/// notify the watchers of entries.
std::string heartbeat_key(const std::string& incarnation);

/// Registers one router incarnation and writes its heartbeats. Thread-safe.
template <object_store Store>
class router_registration {
public:
    router_registration(Store& store, router_member self) : store_(store), self_(std::move(self)) {}

    /// Creates the entry. Safe to repeat after a lost reply.
    result<done> register_now() {
        const std::lock_guard lock(mutex_);
        const result<done> written = write_entry(member_state::live);
        if (written) {
            registered_at_ = self_.version;
        }
        return written;
    }

    /// Returns the store version at which this router registered, or `absent_version` before the
    /// registration.
    object_version registered_at() const {
        const std::lock_guard lock(mutex_);
        return registered_at_;
    }

    /// Changes the state in the entry. Fails with `fenced` if recovery has sealed this incarnation.
    result<done> set_state(member_state state) {
        const std::lock_guard lock(mutex_);
        return write_entry(state);
    }

    /// Writes a heartbeat, which tells other routers that this one is alive. Fails with `fenced` if recovery
    /// has sealed this incarnation.
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

    /// Reads the version of the heartbeat after a conflict. If the reply to an earlier write was lost, that
    /// write may have created a newer version. If the heartbeat was removed, recovery has begun, and this
    /// fails with `fenced`.
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
