#include "streams/stream_origin.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t max_age_ms = 3600000;

failure make_notice_failure(const char* field) {
    return make_failure(errc::malformed, "parse notice of a stream's origin", "",
                        "field \"" + std::string(field) + "\" is missing, of another type or too long");
}

bool is_text(const Json::Value& notice, const char* field, std::size_t max_bytes) {
    const std::string text = string_member(notice, field);
    return !text.empty() && text.size() <= max_bytes;
}

} // namespace

Json::Value to_json(const origin_record& record) {
    Json::Value notice;
    notice["kind"] = origin_record_kind;
    notice["stream"] = record.stream;
    notice["service"] = record.origin.service;
    notice["version"] = record.origin.version;
    notice["age_ms"] = Json::Int64(record.age.count());
    return notice;
}

Json::Value to_json(const origin_question& question) {
    Json::Value notice;
    notice["kind"] = origin_question_kind;
    notice["question"] = Json::UInt64(question.number);
    notice["from"] = question.from;
    notice["stream"] = question.stream;
    return notice;
}

Json::Value to_json(const origin_answer& answer) {
    Json::Value notice = answer.record ? to_json(*answer.record) : Json::Value(Json::objectValue);
    notice["kind"] = origin_answer_kind;
    notice["question"] = Json::UInt64(answer.number);
    notice["from"] = answer.from;
    return notice;
}

result<origin_record> parse_origin_record(const Json::Value& notice) {
    if (!is_text(notice, "stream", max_stream_id_bytes)) {
        return make_notice_failure("stream");
    }
    for (const char* field : {"service", "version"}) {
        if (!is_text(notice, field, max_origin_name_bytes)) {
            return make_notice_failure(field);
        }
    }
    const std::int64_t age_ms = int_member(notice, "age_ms", -1);
    if (age_ms < 0) {
        return make_notice_failure("age_ms");
    }
    return origin_record{string_member(notice, "stream"),
                         {string_member(notice, "service"), string_member(notice, "version")},
                         milliseconds(std::min(age_ms, max_age_ms))};
}

result<origin_question> parse_origin_question(const Json::Value& notice) {
    if (!member(notice, "question").isUInt64()) {
        return make_notice_failure("question");
    }
    if (!is_text(notice, "stream", max_stream_id_bytes)) {
        return make_notice_failure("stream");
    }
    return origin_question{notice["question"].asUInt64(), string_member(notice, "from"),
                           string_member(notice, "stream")};
}

result<origin_answer> parse_origin_answer(const Json::Value& notice) {
    if (!member(notice, "question").isUInt64()) {
        return make_notice_failure("question");
    }
    origin_answer answer{notice["question"].asUInt64(), string_member(notice, "from"), std::nullopt};
    if (notice.isMember("version")) {
        result<origin_record> record = parse_origin_record(notice);
        if (!record) {
            return record.error();
        }
        answer.record = std::move(record.value());
    }
    return answer;
}

} // namespace eelgrassgw
