#pragma once

/// Watcher that follows one prefix of the object API on its own thread.

#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/platform/object_store.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace eelgrassgw {

/// Calls `on_changes` first with all objects under the prefix and then with every change, and `on_failure`
/// for each failed call. Both callbacks run on the watcher's thread. After an outage the watcher continues
/// from the last store version that it received.
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
            state_changed_.notify_all();
        }
        thread_.join();
    }

    prefix_watcher(const prefix_watcher&) = delete;
    prefix_watcher& operator=(const prefix_watcher&) = delete;

    /// Waits until the prefix has been read once. Returns false if that takes longer than `timeout`.
    bool wait_until_read(std::chrono::milliseconds timeout) {
        std::unique_lock lock(mutex_);
        return state_changed_.wait_for(lock, timeout, [&] { return read_once_; });
    }

private:
    static constexpr std::chrono::milliseconds watch_timeout{2000};
    static constexpr std::chrono::milliseconds retry_delay{300};

    void run() {
        object_version since = 0;
        while (!is_stopping()) {
            const result<object_changes> changes =
                read_once_ ? store_.watch(prefix_, since, watch_timeout) : store_.list(prefix_);
            if (!changes) {
                on_failure_(changes.error());
                wait_before_retry();
                continue;
            }
            since = changes.value().store_version;
            on_changes_(changes.value());
            const std::lock_guard lock(mutex_);
            read_once_ = true;
            state_changed_.notify_all();
        }
    }

    bool is_stopping() {
        const std::lock_guard lock(mutex_);
        return stopping_;
    }

    void wait_before_retry() {
        const std::chrono::milliseconds jitter(random_below(static_cast<std::uint64_t>(retry_delay.count())));
        std::unique_lock lock(mutex_);
        state_changed_.wait_for(lock, retry_delay + jitter, [&] { return stopping_; });
    }

    Store& store_;
    std::string prefix_;
    std::function<void(const object_changes&)> on_changes_;
    std::function<void(const failure&)> on_failure_;
    std::mutex mutex_;
    std::condition_variable state_changed_;
    bool stopping_ = false;
    std::atomic<bool> read_once_{false};
    std::thread thread_;
};

} // namespace eelgrassgw
