#include "streams/event_splitter.h"

#include <charconv>
#include <optional>
#include <utility>

namespace eelgrassgw {

namespace {

std::optional<std::int64_t> parse_number(const std::string& id) {
    std::int64_t n = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), n);
    if (parsed.ec != std::errc() || parsed.ptr != id.data() + id.size()) {
        return std::nullopt;
    }
    return n;
}

/// Returns the position after the event that begins at `from`, or npos if the event is incomplete.
std::size_t event_end(std::string_view text, std::size_t from) {
    const std::size_t lf = text.find("\n\n", from);
    const std::size_t crlf = text.find("\r\n\r\n", from);
    if (lf == std::string_view::npos && crlf == std::string_view::npos) {
        return std::string_view::npos;
    }
    return lf < crlf ? lf + 2 : crlf + 4;
}

std::string parse_id(std::string_view event) {
    std::size_t at = 0;
    while (at < event.size()) {
        std::size_t end = event.find('\n', at);
        end = end == std::string_view::npos ? event.size() : end;
        std::string_view line = event.substr(at, end - at);
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            return std::string(line.substr(0, line.find('\r')));
        }
        at = end + 1;
    }
    return {};
}

} // namespace

std::string event_splitter::append(std::string_view bytes) {
    incomplete_event_ += bytes;
    std::string complete_events;
    std::size_t from = 0;
    for (std::size_t end = event_end(incomplete_event_, 0); end != std::string::npos;
         end = event_end(incomplete_event_, from)) {
        const std::string_view event = std::string_view(incomplete_event_).substr(from, end - from);
        const std::string id = parse_id(event);
        from = end;
        if (is_duplicate(id)) {
            continue;
        }
        complete_events += event;
        ++event_count_;
        last_id_ = id.empty() ? last_id_ : id;
    }
    incomplete_event_.erase(0, from);
    return complete_events;
}

bool event_splitter::is_inside_event() const {
    return incomplete_event_.find_first_not_of("\r\n") != std::string::npos;
}

std::string event_splitter::take_trailing_lines() {
    return std::exchange(incomplete_event_, {});
}

void event_splitter::restart() {
    incomplete_event_.clear();
    event_count_at_restart_ = event_count_;
    is_restarted_ = true;
}

bool event_splitter::is_duplicate(const std::string& id) const {
    const auto number = parse_number(id);
    const auto last = parse_number(last_id_);
    return is_restarted_ && number.has_value() && last.has_value() && *number <= *last;
}

} // namespace eelgrassgw
