#include "placing/prompt_notices.h"

#include "eelgrassgw/base/json.h"

namespace eelgrassgw {

prompt_notices::prompt_notices(notice_channel& channel, backend_directory& directory, std::string router)
    : channel_(channel), directory_(directory), router_(std::move(router)) {
    channel_.set_handler("",
                         [this](const Json::Value& notice) { return handle_notice(notice, clock::now()); });
}

std::uint64_t prompt_notices::announce(const std::string& server, std::int64_t tokens) {
    send_notice(server, ++last_number_, tokens);
    return last_number_;
}

void prompt_notices::withdraw(const std::string& server, std::uint64_t number) {
    send_notice(server, number, 0);
}

void prompt_notices::send_notice(const std::string& server, std::uint64_t number, std::int64_t tokens) {
    Json::Value notice;
    notice["from"] = router_;
    notice["number"] = Json::UInt64(number);
    notice["server"] = server;
    notice["tokens"] = Json::Int64(tokens);
    channel_.send(notice);
}

result<done> prompt_notices::handle_notice(const Json::Value& notice, clock::time_point now) {
    const std::string from = string_member(notice, "from");
    const std::string server = string_member(notice, "server");
    const std::int64_t tokens = int_member(notice, "tokens", -1);
    if (from.empty() || server.empty() || tokens < 0 || tokens > max_announced_tokens) {
        return make_failure(errc::malformed, "parse prompt notice", from,
                            "field \"from\" or \"server\" is missing, or \"tokens\" is no number from 0 to "
                            "the largest prompt");
    }
    const auto tracked = directory_.find(server);
    if (tracked == nullptr || from == router_) {
        return done{};
    }
    std::erase_if(tracked->announced_prompts,
                  [&](const auto& each) { return each.second.expires_at <= now; });
    const std::string key = from + "#" + std::to_string(int_member(notice, "number"));
    if (tokens == 0) {
        tracked->announced_prompts.erase(key);
        if (room_handler_) {
            room_handler_();
        }
    } else {
        tracked->announced_prompts[key] = {tokens, now + notice_lifetime};
    }
    return done{};
}

unread_prompt::unread_prompt(prompt_notices& notices, std::shared_ptr<tracked_backend> server,
                             std::int64_t tokens, std::string shared_part, std::int64_t held_tokens,
                             clock::time_point sent_at)
    : notices_(notices), server_(std::move(server)), tokens_(tokens), shared_part_(std::move(shared_part)),
      held_tokens_(held_tokens), sent_at_(sent_at),
      tokens_before_event_(server_->known_unread_tokens(sent_at) + tokens),
      is_measurable_(shared_part_.empty() || server_->read_parts.contains(shared_part_, sent_at)) {
    server_->unread_tokens += tokens_;
    server_->held_tokens += held_tokens_;
    if (tokens_ >= prompt_notices::min_announced_tokens) {
        notice_number_ = notices_.announce(server_->server.id, tokens_);
    }
}

unread_prompt::~unread_prompt() {
    mark_read();
    server_->held_tokens -= held_tokens_;
}

void unread_prompt::note_event(clock::time_point now) {
    if (last_event_at_) {
        server_->speed.note_event_gap(now - *last_event_at_, now);
    } else {
        if (is_measurable_) {
            server_->speed.note_first_event(tokens_before_event_, now - sent_at_, now);
        }
        server_->read_parts.note(shared_part_, now);
        mark_read();
    }
    last_event_at_ = now;
}

void unread_prompt::note_answer(clock::time_point now) {
    if (!last_event_at_ && tokens_before_event_ == 0) {
        server_->speed.note_answer(now - sent_at_, now);
    }
}

void unread_prompt::mark_read() {
    server_->unread_tokens -= std::exchange(tokens_, 0);
    if (notice_number_) {
        notices_.withdraw(server_->server.id, *notice_number_);
        notice_number_.reset();
    }
}

} // namespace eelgrassgw
