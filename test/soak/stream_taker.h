#pragma once

/// A caller of the soak test that takes broken streams up again.

#include "gateway/raw_caller.h"

#include <gtest/gtest.h>

#include <string>

namespace eelgrassgw {

/// What a caller has of a stream, over all its tries. Expects that no event is missing or comes twice, and
/// that all events are of one software version.
class taken_stream {
public:
    /// Adds what came of an answer. `request_id` is the id of the attempt that brought it.
    void append(const std::string& request_id, const std::string& body) {
        std::size_t from = 0;
        for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", from)) {
            append_event(request_id, body.substr(from, end - from));
            from = end + 2;
        }
    }

    /// Returns the header lines with which a request goes on with the stream; empty if it has not begun.
    std::string take_up_headers() const {
        return last_event_ == 0 ? ""
                                : "Last-Event-Id: " + std::to_string(last_event_) +
                                      "\r\nResumes: " + first_request_id_ + "\r\n";
    }

    int last_event() const { return last_event_; }

private:
    void append_event(const std::string& request_id, const std::string& event) {
        const int number = std::stoi(event.substr(event.find(' ') + 1));
        const std::string version = event.substr(event.rfind(' ') + 1);
        if (last_event_ == 0) {
            first_request_id_ = request_id;
            version_ = version;
        }
        EXPECT_EQ(last_event_ + 1, number) << "stream of " << first_request_id_ << " at " << request_id;
        EXPECT_EQ(version_, version) << "event " << number << " of the stream of " << first_request_id_
                                     << " came from another version at " << request_id;
        last_event_ = number;
    }

    std::string first_request_id_; ///< Id of the attempt that brought the first event.
    std::string version_;
    int last_event_ = 0;
};

} // namespace eelgrassgw
