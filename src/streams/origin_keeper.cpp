#include "streams/origin_keeper.h"

namespace eelgrassgw {

origin_keeper::origin_keeper(asio::io_context& context, metrics_registry& metrics)
    : channel_(context), metrics_(metrics) {
    channel_.set_handler(origin_record_kind, [this](const Json::Value& notice) { return keep(notice); });
    channel_.set_handler(origin_question_kind, [this](const Json::Value& notice) { return answer(notice); });
}

result<done> origin_keeper::start(const std::string& address) {
    address_ = address;
    return channel_.start(address);
}

result<done> origin_keeper::keep(const Json::Value& notice) {
    const result<origin_record> record = parse_origin_record(notice);
    if (!record) {
        return record.error();
    }
    memory_.put(record.value().stream, record.value().origin, origin_memory::clock::now());
    metrics_.set("stream_origins_kept", double(memory_.size()));
    return done{};
}

result<done> origin_keeper::answer(const Json::Value& notice) {
    const result<origin_question> question = parse_origin_question(notice);
    if (!question) {
        return question.error();
    }
    origin_answer answer;
    answer.number = question.value().number;
    answer.from = address_;
    answer.record = memory_.find(question.value().stream, origin_memory::clock::now());
    metrics_.count("stream_origin_questions", {{"known", answer.record ? "yes" : "no"}});
    channel_.send_to(question.value().from, to_json(answer));
    return done{};
}

} // namespace eelgrassgw
