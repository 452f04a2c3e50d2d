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
                             std::int64_t tokens)
    : notices_(notices), server_(std::move(server)), tokens_(tokens) {
    server_->unread_tokens += tokens_;
    if (tokens_ >= prompt_notices::min_announced_tokens) {
        notice_number_ = notices_.announce(server_->server.id, tokens_);
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
