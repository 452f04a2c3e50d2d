#include "platform_store_stand_in.h"

#include <gtest/gtest.h>

#include <charconv>
#include <optional>

namespace eelgrassgw {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::hours forever{1};

/// Returns the spec that is kept in place of a text.
std::string placeholder(std::size_t text_index) {
    return "spec text " + std::to_string(text_index) + ".";
}

text_reply json_reply(http::status status, const Json::Value& body) {
    return make_reply(status, "application/json", to_text(body));
}

/// Decodes a part of a target as an HTTP server does. Returns nothing if an escape is not one.
std::optional<std::string> decode_target_text(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        unsigned byte = 0;
        const char* digits = text.data() + i + 1;
        if (i + 2 >= text.size() || std::from_chars(digits, digits + 2, byte, 16).ptr != digits + 2) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        i += 2;
    }
    return decoded;
}

/// Returns the decoded value of a query's field, empty if it is absent; nothing if it cannot be decoded.
std::optional<std::string> query_value(const std::string& query, const std::string& name) {
    const std::size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) {
        return std::string();
    }
    const std::string rest = query.substr(at + name.size() + 1);
    return decode_target_text(rest.substr(0, rest.find('&')));
}

std::uint64_t parse_number(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

platform_store_stand_in::platform_store_stand_in(asio::io_context& context, std::string address)
    : address_(std::move(address)) {
    const auto started =
        http_service::start(context, address_, [this](text_request r) { return answer(std::move(r)); });
    EXPECT_TRUE(started.ok()) << (started ? "" : started.error().text());
}

void platform_store_stand_in::put(const std::string& kind, const std::string& name, const Json::Value& spec) {
    store(kind, name, spec);
}

void platform_store_stand_in::put_text(const std::string& kind, const std::string& name, std::string spec) {
    const std::string stored = placeholder(texts_.size());
    store(kind, name, stored);
    texts_.emplace_back("\"" + stored + "\"", std::move(spec));
}

void platform_store_stand_in::write_name_as(const std::string& name, std::string text) {
    texts_.emplace_back("\"name\":\"" + name + "\"", "\"name\":" + std::move(text));
}

/// Replaces what stands for other texts in the body of an answer.
void platform_store_stand_in::insert_texts(std::string& body) const {
    for (const auto& [placed, text] : texts_) {
        for (std::size_t at = body.find(placed); at != std::string::npos; at = body.find(placed, at)) {
            body.replace(at, placed.size(), text);
            at += text.size();
        }
    }
}

void platform_store_stand_in::remove(const std::string& kind, const std::string& name) {
    Json::Value object = now_.kinds[kind][name];
    object["metadata"]["revision"] = Json::UInt64(++now_.revision);
    now_.kinds[kind].erase(name);
    now_.events.push_back({now_.revision, kind, object, true});
}

void platform_store_stand_in::take_copy() {
    copy_ = now_;
}

void platform_store_stand_in::restore_copy() {
    now_ = copy_;
    ++era_;
}

Json::Value platform_store_stand_in::spec(const std::string& kind, const std::string& name) const {
    const auto objects_of_kind = now_.kinds.find(kind);
    if (objects_of_kind == now_.kinds.end() || !objects_of_kind->second.contains(name)) {
        return {};
    }
    return objects_of_kind->second.at(name)["spec"];
}

Json::Value platform_store_stand_in::store(const std::string& kind, const std::string& name,
                                           const Json::Value& spec) {
    Json::Value object;
    object["metadata"]["name"] = name;
    object["metadata"]["revision"] = Json::UInt64(++now_.revision);
    object["spec"] = spec;
    now_.kinds[kind][name] = object;
    now_.events.push_back({now_.revision, kind, object, false});
    return object;
}

task<text_reply> platform_store_stand_in::answer(text_request request) {
    const std::uint64_t era = era_; // A late answer states the era in which it was made.
    text_reply reply = co_await answer_without_era(std::move(request));
    insert_texts(reply.body());
    reply.prepare_payload();
    reply.set("Store-Era", std::to_string(era));
    co_return reply;
}

task<text_reply> platform_store_stand_in::answer_without_era(text_request request) {
    ++calls;
    if (silent) {
        co_await sleep_for(forever);
    }
    if (busy) {
        co_return make_reply(http::status::service_unavailable, "text/plain", "");
    }
    const std::string raw_target(request.target());
    const std::string target = raw_target.substr(0, raw_target.find('#')); // A fragment is not a part of it.
    const std::size_t query_start = target.find('?');
    const std::string path = target.substr(0, query_start);
    const std::string query = query_start == std::string::npos ? "" : target.substr(query_start + 1);
    const std::string rest = path.substr(std::string("/-/objects/").size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name = rest == kind ? "" : rest.substr(kind.size() + 1);
    if (request.method() != http::verb::get) {
        const Json::Value object = parse_json(request.body()).value();
        const bool create = request.method() == http::verb::post;
        const std::string name_in_body = string_member(member(object, "metadata"), "name");
        text_reply written = write(kind, create ? name_in_body : name, object, create);
        if (write_answers_to_lose > 0) {
            --write_answers_to_lose;
            co_await sleep_for(forever);
        }
        co_return written;
    }
    if (!name.empty()) {
        co_return read(kind, name);
    }
    if (kind == unanswered_kind) {
        co_await sleep_for(forever);
    }
    const auto since_revision = query_value(query, "watch");
    const auto wait_ms = query_value(query, "waitMs");
    const auto after_name = query_value(query, "after");
    if (!since_revision || !wait_ms || !after_name) {
        co_return make_reply(http::status::bad_request, "text/plain", "the query cannot be decoded");
    }
    if (!since_revision->empty()) {
        const std::chrono::milliseconds wait(parse_number(*wait_ms));
        co_return co_await watch(kind, parse_number(*since_revision), wait);
    }
    co_return list(kind, *after_name);
}

task<text_reply> platform_store_stand_in::watch(std::string kind, std::uint64_t since_revision,
                                                std::chrono::milliseconds wait) {
    if (std::exchange(watch_history_expired, false) || since_revision > now_.revision) {
        co_return make_reply(http::status::gone, "text/plain", "");
    }
    const auto deadline = std::chrono::steady_clock::now() + wait;
    Json::Value body;
    body["events"] = Json::Value(Json::arrayValue);
    const std::uint64_t era = era_;
    for (;;) {
        if (hanging_watches) {
            co_await sleep_for(forever);
        }
        if (era != era_) {
            co_return make_reply(http::status::gone, "text/plain", "");
        }
        for (const event& each : now_.events) {
            if (each.kind == kind && each.revision > since_revision) {
                Json::Value event_json;
                event_json["object"] = each.object;
                event_json["deleted"] = each.deleted;
                body["events"].append(event_json);
            }
        }
        // A later change must not be skipped, so the revision is that of this look at the events.
        body["at"] = Json::UInt64(now_.revision);
        if (!body["events"].empty() || std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        co_await sleep_for(5ms);
    }
    co_return json_reply(http::status::ok, body);
}

text_reply platform_store_stand_in::list(const std::string& kind, const std::string& after_name) const {
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    body["hasMore"] = false;
    body["at"] = Json::UInt64(now_.revision);
    const auto objects_of_kind = now_.kinds.find(kind);
    if (objects_of_kind != now_.kinds.end()) {
        for (auto it = objects_of_kind->second.upper_bound(after_name); it != objects_of_kind->second.end();
             ++it) {
            if (body["items"].size() == page_size) {
                body["hasMore"] = true;
                break;
            }
            body["items"].append(it->second);
        }
    }
    return json_reply(http::status::ok, body);
}

text_reply platform_store_stand_in::read(const std::string& kind, const std::string& name) const {
    const auto objects_of_kind = now_.kinds.find(kind);
    if (objects_of_kind == now_.kinds.end() || !objects_of_kind->second.contains(name)) {
        return make_reply(http::status::not_found, "text/plain", "");
    }
    return json_reply(http::status::ok, objects_of_kind->second.at(name));
}

text_reply platform_store_stand_in::write(const std::string& kind, const std::string& name,
                                          const Json::Value& object, bool create) {
    const bool exists = now_.kinds[kind].contains(name);
    const auto expected_revision = std::uint64_t(int_member(member(object, "metadata"), "revision"));
    const std::uint64_t current_revision =
        exists ? now_.kinds[kind][name]["metadata"]["revision"].asUInt64() : 0;
    if (create ? exists : expected_revision != current_revision) {
        return exists ? json_reply(http::status::conflict, now_.kinds[kind][name])
                      : make_reply(http::status::not_found, "text/plain", "");
    }
    return json_reply(create ? http::status::created : http::status::ok, store(kind, name, object["spec"]));
}

} // namespace eelgrassgw
