#include "base/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace eelgrassgw {

namespace {

std::int64_t unix_ms_now() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

event_log::event_log(int descriptor, std::string process)
    : descriptor_(descriptor), process_(std::move(process)) {
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void event_log::write(const char* event, Json::Value fields) {
    add(event, std::move(fields), most_lines_per_second);
}

void event_log::write_failure(const char* event, Json::Value fields) {
    add(event, std::move(fields), most_failure_lines_per_second);
}

void event_log::add(const char* event, Json::Value fields, int most_lines) {
    const std::int64_t now = unix_ms_now();
    if (!within_rate(event, now / 1000, most_lines) || buffer_.size() >= largest_buffer) {
        ++dropped_;
        return;
    }
    if (dropped_ > reported_) {
        Json::Value lost;
        lost["lines"] = Json::UInt64(dropped_ - reported_);
        reported_ = dropped_;
        append("log_lines_dropped", std::move(lost), now);
    }
    append(event, std::move(fields), now);
}

bool event_log::within_rate(const char* event, std::int64_t second, int most_lines) {
    rate& of = rates_[event];
    if (of.second != second) {
        of = {second, 0};
    }
    return ++of.lines <= most_lines;
}

void event_log::append(const char* event, Json::Value fields, std::int64_t unix_ms) {
    fields["time_ms"] = Json::Int64(unix_ms);
    fields["process"] = process_;
    fields["event"] = event;
    buffer_ += to_text(fields);
    buffer_ += '\n';
}

void event_log::flush() {
    while (!buffer_.empty()) {
        const ssize_t n = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return; // Full, or nobody reads any more: the buffer's bound holds what waits.
        }
        buffer_.erase(0, static_cast<std::size_t>(n));
    }
}

} // namespace eelgrassgw
