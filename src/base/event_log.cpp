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
    add_line(event, std::move(fields), max_lines_per_second);
}

void event_log::write_failure(const char* event, Json::Value fields) {
    add_line(event, std::move(fields), max_failure_lines_per_second);
}

void event_log::add_line(const char* event, Json::Value fields, int max_lines) {
    const std::int64_t now = unix_ms_now();
    if (!count_line_within_rate(event, now / 1000, max_lines) || buffer_.size() >= max_buffer_bytes) {
        ++dropped_lines_;
        return;
    }
    if (dropped_lines_ > reported_dropped_lines_) {
        Json::Value dropped_fields;
        dropped_fields["lines"] = Json::UInt64(dropped_lines_ - reported_dropped_lines_);
        reported_dropped_lines_ = dropped_lines_;
        append_line("log_lines_dropped", std::move(dropped_fields), now);
    }
    append_line(event, std::move(fields), now);
}

bool event_log::count_line_within_rate(const char* event, std::int64_t unix_second, int max_lines) {
    event_rate& rate = rates_[event];
    if (rate.unix_second != unix_second) {
        rate = {unix_second, 0};
    }
    return ++rate.line_count <= max_lines;
}

void event_log::append_line(const char* event, Json::Value fields, std::int64_t unix_ms) {
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
            return; // The descriptor accepts no more data: the bounded buffer keeps the remaining lines.
        }
        buffer_.erase(0, static_cast<std::size_t>(n));
    }
}

} // namespace eelgrassgw
