#pragma once

/// Defines where a stream began, and the notices in which routers and relays tell each other.

#include "eelgrassgw/base/failure.h"
#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace eelgrassgw {

/// The service and the software version whose server wrote the first event of a stream.
struct stream_origin {
    std::string service;
    std::string version; ///< Empty if it is not known.

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// Kinds of the notices about origins.
inline constexpr const char* origin_record_kind = "stream_origin";
inline constexpr const char* origin_question_kind = "stream_origin_question";
inline constexpr const char* origin_answer_kind = "stream_origin_answer";

/// Longest id of a stream, in bytes. Longer ones are not remembered.
inline constexpr std::size_t max_stream_id_bytes = 256;
/// Longest name of a service or a version, in bytes.
inline constexpr std::size_t max_origin_name_bytes = 256;

/// Tells where the stream began whose first event the request `stream` brought.
struct origin_record {
    std::string stream;
    stream_origin origin;
    std::chrono::milliseconds age{0}; ///< Time since the router that began the stream last told of it.
};

/// Asks where a stream began.
struct origin_question {
    std::uint64_t number = 0; ///< Chosen by the router that asks; repeated in the answer.
    std::string from;         ///< Address (IP:port) to which the answer goes.
    std::string stream;
};

/// The answer to a question.
struct origin_answer {
    std::uint64_t number = 0;
    std::string from;                    ///< Address (IP:port) of the relay.
    std::optional<origin_record> record; ///< Absent if the relay does not know the stream.
};

/// Encode the notices. Thread-safe.
Json::Value to_json(const origin_record& record);
Json::Value to_json(const origin_question& question);
Json::Value to_json(const origin_answer& answer);

/// Decode the notices. Fail if a field is missing, of another type or too long. Thread-safe.
result<origin_record> parse_origin_record(const Json::Value& notice);
result<origin_question> parse_origin_question(const Json::Value& notice);
result<origin_answer> parse_origin_answer(const Json::Value& notice);

} // namespace eelgrassgw
