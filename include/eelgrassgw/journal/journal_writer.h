#pragma once

/// Writes one incarnation's journal in batches, on a background thread.

#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/log.h"
#include "eelgrassgw/journal/journal_store.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace eelgrassgw {

/// The settings of a `journal_writer`.
struct journal_writer_options {
    std::string incarnation;
    std::chrono::milliseconds interval{1000};       ///< Time between two segments.
    std::chrono::milliseconds initial_backoff{100}; ///< Delay after the first failure; it doubles each time.
    std::chrono::milliseconds max_backoff{5000};    ///< Upper bound of the delay, without its jitter.
    std::size_t max_records_per_segment = 2000;     ///< Bound that keeps a segment below the platform's 1 MB.
};

/// Collects billing records and writes them as segments. The class is thread-safe. `on_written` and
/// `on_fenced` run on the writer's thread. After `on_fenced` the writer writes nothing more.
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

    /// Queues one record. The journal contains it once `on_written` has been called with its segment.
    void add(billing_record record) {
        const std::lock_guard lock(mutex_);
        pending_.push_back(std::move(record));
    }

    /// Queues a note that this incarnation has settled all its requests on a replaced agent.
    void add_lost_agent(const std::string& agent) {
        const std::lock_guard lock(mutex_);
        pending_lost_agents_.push_back(agent);
    }

    /// Writes immediately and waits until nothing is pending, the writer is fenced, or `timeout` has elapsed.
    /// Returns whether everything was written.
    bool flush(std::chrono::milliseconds timeout) {
        std::unique_lock lock(mutex_);
        flush_requested_ = true;
        changed_.notify_all();
        return changed_.wait_for(lock, timeout, [&] { return fenced_ || is_idle(); }) && !fenced_;
    }

    /// Ends the journal with a seal. Precondition: `flush` returned true.
    result<journal_contents> seal() { return journals_.seal(options_.incarnation, options_.incarnation); }

    /// Returns the number of records that are not yet in the journal.
    std::size_t unwritten_records() const {
        const std::lock_guard lock(mutex_);
        return pending_.size() + entries_in_write_;
    }

    /// Tells the thread to stop without writing the pending records.
    void stop() {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }

private:
    bool is_idle() const {
        return pending_.empty() && pending_lost_agents_.empty() && entries_in_write_ == 0;
    }

    void run() {
        while (wait_for_work()) {
            journal_segment segment = take_segment();
            if (!write_with_retries(segment)) {
                return;
            }
        }
    }

    /// Waits until the next segment is due. Returns false if the writer is stopped.
    bool wait_for_work() {
        std::unique_lock lock(mutex_);
        do {
            changed_.wait_for(lock, options_.interval,
                              [&] { return stopping_ || (flush_requested_ && !is_idle()); });
            if (stopping_) {
                return false;
            }
        } while (is_idle());
        return true;
    }

    /// Moves pending records and notes into the next segment.
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
        entries_in_write_ = n + segment.lost_agents.size();
        return segment;
    }

    /// Retries until the segment is written. Returns false if the writer is fenced or stopped.
    bool write_with_retries(const journal_segment& segment) {
        std::chrono::milliseconds backoff = options_.initial_backoff;
        for (;;) {
            failpoint("journal_before_write");
            const result<done> written = journals_.append(segment);
            failpoint("journal_after_write");
            if (written) {
                finish_segment(segment);
                return true;
            }
            if (written.failed_with(errc::fenced)) {
                mark_fenced(written.error());
                return false;
            }
            log_failed_write(written.error());
            if (!wait_before_retry(backoff)) {
                return false;
            }
            backoff = std::min(backoff * 2, options_.max_backoff);
        }
    }

    void finish_segment(const journal_segment& segment) {
        on_written_(segment);
        const std::lock_guard lock(mutex_);
        entries_in_write_ = 0;
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

    /// Waits for `backoff` plus a random jitter of up to half of it. Returns false if the writer is stopped.
    bool wait_before_retry(std::chrono::milliseconds backoff) {
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
    std::size_t entries_in_write_ = 0; ///< Records and notes in the segment that is being written.
    std::int64_t next_number_ = 0;
    bool flush_requested_ = false;
    bool stopping_ = false;
    bool fenced_ = false;
    std::thread thread_;
};

} // namespace eelgrassgw
