#include "test/system/caller.h"

#include "eelgrassgw/router/caller_request.h"
#include "test/stand_ins/stand_in_answer.h"

#include <thread>

namespace eelgrassgw::test {

namespace {

const http_timeouts caller_timeouts{std::chrono::milliseconds(1000), std::chrono::milliseconds(4000)};

void read_error(const Json::Value& body, observation& noted) {
    const Json::Value& error = member(body, "error");
    noted.code = string_member(error, "code");
    noted.ran = string_member(error, "ran");
    noted.safe_to_repeat = bool_member(error, "safe_to_repeat", true);
}

observation begin_observation() {
    observation begun;
    begun.sent_at_ms = stand_in::now_ms();
    return begun;
}

bool is_final_answer(const observation& o) {
    return o.whole || o.code == "budget_exhausted" || o.code == "key_reused" || o.code == "answer_broken" ||
           o.code == "answer_not_kept" || o.code == "ran_before";
}

} // namespace

std::string id_of_key(const fleet& target, const std::string& key) {
    return request_id_for(string_member(target.description(), "customer"), key);
}

http_request caller::make_request(const std::string& method, const std::string& path,
                                  const std::string& key) const {
    http_request request;
    request.method = method;
    request.path = path;
    request.headers["authorization"] = "Bearer " + string_member(fleet_.description(), "customer_key");
    if (!key.empty()) {
        request.headers["idempotency-key"] = key;
    }
    return request;
}

observation caller::note(observation noted) {
    const std::lock_guard lock(mutex_);
    seen_.push_back(noted);
    return noted;
}

std::vector<observation> caller::seen() const {
    const std::lock_guard lock(mutex_);
    return seen_;
}

http_request caller::make_chat(const std::string& prompt, const std::string& key, bool stream) const {
    http_request request = make_request("POST", "/v1/chat/completions", key);
    Json::Value body;
    body["model"] = "lagoon-1";
    body["stream"] = stream;
    body["messages"][0]["role"] = "user";
    body["messages"][0]["content"] = prompt;
    request.body = to_text(body);
    return request;
}

observation caller::chat(const std::string& router, const std::string& prompt, const std::string& key,
                         bool stream) {
    const http_request request = make_chat(prompt, key, stream);
    observation noted = begin_observation();
    noted.kind = "chat";
    noted.prompt = prompt + "\n";
    noted.request_id = key.empty() ? "" : id_of_key(fleet_, key);
    return note(stream ? send_streamed(router, request, noted) : send(router, request, noted));
}

observation caller::resume(const std::string& router, const std::string& prompt, const std::string& key,
                           std::size_t offset) {
    http_request request = make_chat(prompt, key, true);
    request.headers["resume-offset"] = std::to_string(offset);
    observation noted = begin_observation();
    noted.kind = "resume";
    noted.request_id = id_of_key(fleet_, key);
    return note(send_streamed(router, request, noted));
}

observation caller::book(const std::string& router, const std::string& key) {
    http_request request = make_request("POST", "/v1/services/booking/book", key);
    request.body = "{\"lot\":17}";
    observation noted = begin_observation();
    noted.kind = "book";
    noted.request_id = id_of_key(fleet_, key);
    return note(send(router, request, noted));
}

observation caller::position(const std::string& router) {
    http_request request = make_request("GET", "/v1/services/booking/position", "");
    request.query = "lot=17";
    observation noted = begin_observation();
    noted.kind = "position";
    return note(send(router, request, noted));
}

observation caller::call(const std::string& router, const std::string& method, const std::string& path,
                         const std::string& key) {
    observation noted = begin_observation();
    noted.kind = "call";
    return note(send(router, make_request(method, path, key), noted));
}

observation caller::send(const std::string& router, const http_request& request, observation noted) {
    const result<http_response> reply = call_http(fleet_.process(router).address, request, caller_timeouts);
    if (!reply) {
        noted.code = reply.error().code.message();
        return noted;
    }
    noted.status = reply.value().status;
    const std::string id = reply.value().header("x-request-id");
    noted.request_id = id.empty() ? noted.request_id : id;
    const result<Json::Value> body = parse_json(reply.value().body);
    if (!body) {
        noted.code = "unreadable";
        return noted;
    }
    if (noted.status != 200) {
        read_error(body.value(), noted);
        return noted;
    }
    noted.whole = true;
    if (noted.kind == "chat") {
        noted.text = string_member(member(body.value()["choices"][0], "message"), "content");
    } else {
        noted.text = reply.value().body;
    }
    return noted;
}

observation caller::send_streamed(const std::string& router, const http_request& request, observation noted) {
    const result<std::unique_ptr<http_stream>> reply =
        open_http_stream(fleet_.process(router).address, request, caller_timeouts);
    if (!reply) {
        noted.code = reply.error().code.message();
        return noted;
    }
    http_stream& stream = *reply.value();
    noted.status = stream.status();
    const std::string id = stream.header("x-request-id");
    noted.request_id = id.empty() ? noted.request_id : id;
    if (noted.status != 200) {
        const result<Json::Value> body = parse_json(stream.read_rest());
        read_error(body ? body.value() : Json::Value(), noted);
        return noted;
    }
    std::string line;
    while (stream.read_line(line)) {
        const std::string prefix = "data: ";
        if (!line.starts_with(prefix)) {
            continue;
        }
        const std::string data = line.substr(prefix.size());
        if (data == "[DONE]") {
            noted.whole = true;
            break;
        }
        const result<Json::Value> event = parse_json(data);
        if (event && event.value().isMember("error")) {
            read_error(event.value(), noted);
        } else if (event && !event.value()["choices"].empty()) {
            noted.text += string_member(member(event.value()["choices"][0], "delta"), "content");
        }
    }
    return noted;
}

std::string caller::router_number(std::size_t i) const {
    const std::vector<process_info> routers = fleet_.processes("router");
    return routers[i % routers.size()].name;
}

observation caller::chat_until_final(const std::string& prompt, const std::string& key, bool stream,
                                     std::chrono::milliseconds longest) {
    const auto limit = std::chrono::steady_clock::now() + longest;
    observation last;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < limit; ++i) {
        last = chat(router_number(i), prompt, key, stream);
        if (is_final_answer(last)) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    return last;
}

observation caller::book_until_final(const std::string& key, std::chrono::milliseconds longest) {
    const auto limit = std::chrono::steady_clock::now() + longest;
    observation last;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < limit; ++i) {
        last = book(router_number(i), key);
        if (is_final_answer(last)) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    return last;
}

} // namespace eelgrassgw::test
