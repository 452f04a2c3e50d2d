#include "eelgrassgw/run/run.h"

namespace eelgrassgw {

void run::mark_running() {
    const std::lock_guard lock(mutex_);
    outcome_.state = run_state::running;
    changed_.notify_all();
}

void run::append_output(const std::string& text, tokens generated_tokens) {
    const std::lock_guard lock(mutex_);
    output_ += text;
    outcome_.generated_tokens += generated_tokens;
    outcome_.used = outcome_.prompt_tokens + outcome_.generated_tokens;
    changed_.notify_all();
}

void run::set_prompt_tokens(tokens prompt_tokens) {
    const std::lock_guard lock(mutex_);
    outcome_.prompt_tokens = prompt_tokens;
    outcome_.used = outcome_.prompt_tokens + outcome_.generated_tokens;
}

void run::finish(run_outcome outcome) {
    const std::lock_guard lock(mutex_);
    outcome_ = std::move(outcome);
    ended_at_ = std::chrono::steady_clock::now();
    changed_.notify_all();
}

run_progress run::wait_for_output(std::size_t offset, std::chrono::milliseconds max_wait) {
    std::unique_lock lock(mutex_);
    last_read_ = std::chrono::steady_clock::now();
    changed_.wait_for(lock, max_wait, [&] { return output_.size() > offset || is_final(outcome_.state); });
    last_read_ = std::chrono::steady_clock::now();
    run_progress progress;
    if (output_.size() > offset) {
        progress.text = output_.substr(offset);
    }
    progress.outcome = outcome_;
    progress.at_end = is_final(outcome_.state);
    return progress;
}

run_outcome run::outcome() const {
    const std::lock_guard lock(mutex_);
    return outcome_;
}

std::size_t run::output_size() const {
    const std::lock_guard lock(mutex_);
    return output_.size();
}

void run::add_reader() {
    const std::lock_guard lock(mutex_);
    ++readers_;
}

void run::remove_reader() {
    const std::lock_guard lock(mutex_);
    --readers_;
    last_read_ = std::chrono::steady_clock::now();
}

bool run::is_abandoned(std::chrono::milliseconds idle_limit) const {
    const std::lock_guard lock(mutex_);
    return readers_ == 0 && !is_final(outcome_.state) &&
           std::chrono::steady_clock::now() - last_read_ > idle_limit;
}

void run::request_cancel() {
    const std::lock_guard lock(mutex_);
    cancel_requested_ = true;
    changed_.notify_all();
}

bool run::cancel_requested() const {
    const std::lock_guard lock(mutex_);
    return cancel_requested_;
}

void run::drop_output() {
    const std::lock_guard lock(mutex_);
    output_.clear();
    output_.shrink_to_fit();
    output_dropped_ = true;
}

bool run::output_dropped() const {
    const std::lock_guard lock(mutex_);
    return output_dropped_;
}

void run::mark_journalled() {
    const std::lock_guard lock(mutex_);
    journalled_ = true;
}

bool run::is_journalled() const {
    const std::lock_guard lock(mutex_);
    return journalled_;
}

steady_time run::ended_at() const {
    const std::lock_guard lock(mutex_);
    return ended_at_;
}

} // namespace eelgrassgw
