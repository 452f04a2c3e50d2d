#pragma once

/// Text of the prompts and events that the tests of streams send.

#include <string>

namespace eelgrassgw {

/// Header lines of a request whose prompt has two parts, 1000 tokens in all.
inline const std::string prompt_headers =
    "Model: m\r\nToken-Counts: 1000,60\r\nPrompt-Prefix: aa:500,bb:500\r\n";

/// Returns the event with this id.
inline std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: " + std::string(10, char('a' + id)) + "\n\n";
}

/// Returns the events with these ids and those between them.
inline std::string events(int first_id, int last_id) {
    std::string text;
    for (int id = first_id; id <= last_id; ++id) {
        text += event(id);
    }
    return text;
}

/// Returns the first bytes of the event with this id.
inline std::string half_event(int id) {
    return event(id).substr(0, event(id).size() / 2);
}

/// Returns the id of the event after the one that a request's Last-Event-Id header names.
inline int next_event_id(const std::string& last_event_id) {
    return last_event_id.empty() ? 1 : std::stoi(last_event_id) + 1;
}

} // namespace eelgrassgw
