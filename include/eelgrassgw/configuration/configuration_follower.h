#pragma once

/// Follows configuration changes and holds the newest valid configuration; its revision never decreases.

#include "eelgrassgw/base/log.h"
#include "eelgrassgw/configuration/configuration_store.h"
#include "eelgrassgw/platform/prefix_watcher.h"

#include <functional>
#include <memory>
#include <mutex>

namespace eelgrassgw {

/// Holds the current configuration. Thread-safe.
class configuration_holder {
public:
    /// Returns the current configuration, or null if none is known yet.
    std::shared_ptr<const configuration> current() const;

    /// Returns the revision of the current configuration, or 0 if none is known yet.
    configuration_revision revision() const;

    /// Adopts `document` if it is valid and newer than the current configuration. Returns whether it was
    /// adopted.
    bool offer(const Json::Value& document, const char* source);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const configuration> current_;
};

/// Follows the configuration in the object API. After each failed call it calls `ask_peers`, which offers the
/// configurations of the peers to the holder.
template <object_store Store>
class configuration_follower {
public:
    configuration_follower(Store& store, configuration_holder& holder, std::function<void()> ask_peers)
        : holder_(holder), ask_peers_(std::move(ask_peers)),
          watcher_(
              store, configuration_key, [this](const object_changes& changes) { apply_changes(changes); },
              [this](const failure&) { ask_peers_(); }) {}

    /// Waits until the configuration has been read once. Returns false if that takes longer than `timeout`.
    bool wait_until_read(std::chrono::milliseconds timeout) { return watcher_.wait_until_read(timeout); }

private:
    void apply_changes(const object_changes& changes) {
        for (const stored_object& object : changes.changed) {
            const result<Json::Value> document = parse_json(object.value);
            // The watch brings every key that begins like this one, such as that of a copy.
            if (document && object.key == configuration_key) {
                holder_.offer(document.value(), "object API");
            }
        }
    }

    configuration_holder& holder_;
    std::function<void()> ask_peers_;
    prefix_watcher<Store> watcher_;
};

} // namespace eelgrassgw
