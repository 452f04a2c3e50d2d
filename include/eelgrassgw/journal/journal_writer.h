#pragma once

/// Writes one incarnation's journal, a batch at a time, on a thread of its own.

#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/log.h"
#include "eelgrassgw/journal/journal_store.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace eelgrassgw {

struct journal_writer_options {
    std::string incarnation;
    std::chrono::milliseconds interval{1000};     ///< Between two segments.
    std::chrono::milliseconds least_backoff{100}; ///< After a failed write.
    std::chrono::milliseconds longest_backoff{5000};
    std::size_t max_records_per_segment = 2000; ///< Keeps a segment under the platform's megabyte.
};

/// Thread-safe. `on_written` and `on_fenced` run on the writer's thread; after `on_fenced` nothing is
/// written.
template <object_store Store>
class journal_writer {
public:
    journal_writer(Store& store, journal_writer_options options,
                   std::function<void(const journal_segment&)> on_written, std::function<void()> on_fenced)
        : journals_(store), options_(std::move(options)), on_written_(std::move(on_written)),
          on_fenced_(std::move(on_fenced)), thread_([this] { run(); }) {}

    ~journal_writer() {
        stop();
        thread_.join();
    }

    journal_writer(const journal_writer&) = delete;
    journal_writer& operator=(const journal_writer&) = delete;

    /// Queues one record. It is in the journal once `on_written` has shown it.
    void add(billing_record record) {
        const std::lock_guard lock(mutex_);
        pending_.push_back(std::move(record));
    }

    /// Queues the note that all this incarnation had on a replaced agent is settled.
    void add_lost_agent(const std::string& agent) {
        const std::lock_guard lock(mutex_);
        pending_lost_agents_.push_back(agent);
    }

    /// Writes at once and waits until nothing is pending, it is fenced, or `longest` is over.
    bool flush(std::chrono::milliseconds longest) {
        std::unique_lock lock(mutex_);
        flush_requested_ = true;
        changed_.notify_all();
        return changed_.wait_for(lock, longest, [&] { return fenced_ || is_empty(); }) && !fenced_;
    }

    /// Ends the journal with a seal of its own. Precondition: `flush` returned true.
    result<journal_contents> seal() { return journals_.seal(options_.incarnation, options_.incarnation); }

    /// Records that are not yet in the journal.
    std::size_t lag() const {
        const std::lock_guard lock(mutex_);
        return pending_.size() + writing_;
    }

    void stop() {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }

private:
    bool is_empty() const { return pending_.empty() && pending_lost_agents_.empty() && writing_ == 0; }

    void run() {
        while (wait_for_work()) {
            journal_segment segment = take_segment();
            if (!write_until_settled(segment)) {
                return;
            }
        }
    }

    bool wait_for_work() {
        std::unique_lock lock(mutex_);
        do {
            changed_.wait_for(lock, options_.interval,
                              [&] { return stopping_ || (flush_requested_ && !is_empty()); });
            if (stopping_) {
                return false;
            }
        } while (is_empty());
        return true;
    }

    journal_segment take_segment() {
        const std::lock_guard lock(mutex_);
        journal_segment segment;
        segment.incarnation = options_.incarnation;
        segment.number = next_number_;
        segment.writer = options_.incarnation + "-" + random_id();
        const std::size_t n = std::min(pending_.size(), options_.max_records_per_segment);
        segment.records.assign(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(n));
        pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(n));
        segment.lost_agents = std::exchange(pending_lost_agents_, {});
        writing_ = n + segment.lost_agents.size();
        return segment;
    }

    /// Tries until the segment is written. Returns false where the writer is fenced or stopped.
    bool write_until_settled(const journal_segment& segment) {
        std::chrono::milliseconds backoff = options_.least_backoff;
        for (;;) {
            failpoint("journal_before_write");
            const result<done> written = journals_.append(segment);
            failpoint("journal_after_write");
            if (written) {
                finish(segment);
                return true;
            }
            if (written.failed_with(errc::fenced)) {
                mark_fenced(written.error());
                return false;
            }
            log_failed_write(written.error());
            if (!pause(backoff)) {
                return false;
            }
            backoff = std::min(backoff * 2, options_.longest_backoff);
        }
    }

    void finish(const journal_segment& segment) {
        on_written_(segment);
        const std::lock_guard lock(mutex_);
        writing_ = 0;
        ++next_number_;
        changed_.notify_all();
    }

    void mark_fenced(const failure& cause) {
        Json::Value fields;
        fields["incarnation"] = options_.incarnation;
        fields["reason"] = cause.text();
        log_event(log_level::warning, "journal_fenced", fields);
        {
            const std::lock_guard lock(mutex_);
            fenced_ = true;
            changed_.notify_all();
        }
        on_fenced_();
    }

    void log_failed_write(const failure& cause) const {
        Json::Value fields;
        fields["incarnation"] = options_.incarnation;
        fields["reason"] = cause.text();
        log_event(log_level::warning, "journal_write_failed", fields);
    }

    /// Waits `backoff` with up to half of it as jitter. Returns false where the writer is stopped.
    bool pause(std::chrono::milliseconds backoff) {
        const std::chrono::milliseconds jitter(
            random_below(static_cast<std::uint64_t>(backoff.count()) / 2 + 1));
        std::unique_lock lock(mutex_);
        return !changed_.wait_for(lock, backoff + jitter, [&] { return stopping_; });
    }

    journal_store<Store> journals_;
    journal_writer_options options_;
    std::function<void(const journal_segment&)> on_written_;
    std::function<void()> on_fenced_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<billing_record> pending_;
    std::vector<std::string> pending_lost_agents_;
    std::size_t writing_ = 0;
    std::int64_t next_number_ = 0;
    bool flush_requested_ = false;
    bool stopping_ = false;
    bool fenced_ = false;
    std::thread thread_;
};

} // namespace eelgrassgw
