#pragma once

/// Follows one prefix of the object API on a thread of its own.

#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/platform/object_store.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace eelgrassgw {

/// Calls `on_changes` with everything under the prefix first, then with each change; `on_failure` at each
/// failed call. Both run on the watcher's thread. After an outage it goes on where it was.
template <object_store Store>
class prefix_watcher {
public:
    prefix_watcher(Store& store, std::string prefix, std::function<void(const object_changes&)> on_changes,
                   std::function<void(const failure&)> on_failure)
        : store_(store), prefix_(std::move(prefix)), on_changes_(std::move(on_changes)),
          on_failure_(std::move(on_failure)), thread_([this] { run(); }) {}

    ~prefix_watcher() {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
            changed_.notify_all();
        }
        thread_.join();
    }

    prefix_watcher(const prefix_watcher&) = delete;
    prefix_watcher& operator=(const prefix_watcher&) = delete;

    /// Waits until the prefix was read once. Returns false after `longest`.
    bool wait_until_read(std::chrono::milliseconds longest) {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, longest, [&] { return read_once_; });
    }

private:
    static constexpr std::chrono::milliseconds watch_wait{2000};
    static constexpr std::chrono::milliseconds retry_pause{300};

    void run() {
        object_version since = 0;
        while (!is_stopping()) {
            const result<object_changes> changes =
                read_once_ ? store_.watch(prefix_, since, watch_wait) : store_.list(prefix_);
            if (!changes) {
                on_failure_(changes.error());
                pause();
                continue;
            }
            since = changes.value().store_version;
            on_changes_(changes.value());
            const std::lock_guard lock(mutex_);
            read_once_ = true;
            changed_.notify_all();
        }
    }

    bool is_stopping() {
        const std::lock_guard lock(mutex_);
        return stopping_;
    }

    void pause() {
        const std::chrono::milliseconds jitter(random_below(static_cast<std::uint64_t>(retry_pause.count())));
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, retry_pause + jitter, [&] { return stopping_; });
    }

    Store& store_;
    std::string prefix_;
    std::function<void(const object_changes&)> on_changes_;
    std::function<void(const failure&)> on_failure_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::atomic<bool> read_once_{false};
    std::thread thread_;
};

} // namespace eelgrassgw
