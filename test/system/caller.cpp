#include "test/system/caller.h"

#include "eelgrassgw/router/caller_request.h"
#include "test/stand_ins/stand_in_answer.h"

#include <thread>

namespace eelgrassgw::test {

namespace {

const http_timeouts caller_timeouts{std::chrono::milliseconds(1000), std::chrono::milliseconds(4000)};

void read_error(const Json::Value& body, observation& observed) {
    const Json::Value& error = member(body, "error");
    observed.code = string_member(error, "code");
    observed.ran = string_member(error, "ran");
    observed.safe_to_repeat = bool_member(error, "safe_to_repeat", true);
}

observation new_observation() {
    observation observed;
    observed.sent_at_ms = stand_in::now_ms();
    return observed;
}

bool is_final_answer(const observation& answer) {
    return answer.is_complete || answer.code == "budget_exhausted" || answer.code == "key_reused" ||
           answer.code == "answer_broken" || answer.code == "answer_not_kept" || answer.code == "ran_before";
}

} // namespace

std::string request_id_for_key(const fleet& target, const std::string& key) {
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

observation caller::record(observation observed) {
    const std::lock_guard lock(mutex_);
    observations_.push_back(observed);
    return observed;
}

std::vector<observation> caller::observations() const {
    const std::lock_guard lock(mutex_);
    return observations_;
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
    observation observed = new_observation();
    observed.kind = "chat";
    observed.prompt = prompt + "\n";
    observed.request_id = key.empty() ? "" : request_id_for_key(fleet_, key);
    return record(stream ? send_streamed(router, request, observed) : send(router, request, observed));
}

observation caller::resume(const std::string& router, const std::string& prompt, const std::string& key,
                           std::size_t offset) {
    http_request request = make_chat(prompt, key, true);
    request.headers["resume-offset"] = std::to_string(offset);
    observation observed = new_observation();
    observed.kind = "resume";
    observed.request_id = request_id_for_key(fleet_, key);
    return record(send_streamed(router, request, observed));
}

observation caller::book(const std::string& router, const std::string& key) {
    http_request request = make_request("POST", "/v1/services/booking/book", key);
    request.body = "{\"lot\":17}";
    observation observed = new_observation();
    observed.kind = "book";
    observed.request_id = request_id_for_key(fleet_, key);
    return record(send(router, request, observed));
}

observation caller::get_position(const std::string& router) {
    http_request request = make_request("GET", "/v1/services/booking/position", "");
    request.query = "lot=17";
    observation observed = new_observation();
    observed.kind = "position";
    return record(send(router, request, observed));
}

observation caller::call(const std::string& router, const std::string& method, const std::string& path,
                         const std::string& key) {
    observation observed = new_observation();
    observed.kind = "call";
    return record(send(router, make_request(method, path, key), observed));
}

observation caller::send(const std::string& router, const http_request& request, observation observed) {
    const result<http_response> reply = call_http(fleet_.process(router).address, request, caller_timeouts);
    if (!reply) {
        observed.code = reply.error().code.message();
        return observed;
    }
    observed.status = reply.value().status;
    const std::string id = reply.value().header("x-request-id");
    observed.request_id = id.empty() ? observed.request_id : id;
    const result<Json::Value> body = parse_json(reply.value().body);
    if (!body) {
        observed.code = "unreadable";
        return observed;
    }
    if (observed.status != 200) {
        read_error(body.value(), observed);
        return observed;
    }
    observed.is_complete = true;
    if (observed.kind == "chat") {
        observed.text = string_member(member(body.value()["choices"][0], "message"), "content");
    } else {
        observed.text = reply.value().body;
    }
    return observed;
}

observation caller::send_streamed(const std::string& router, const http_request& request,
                                  observation observed) {
    const result<std::unique_ptr<http_stream>> reply =
        open_http_stream(fleet_.process(router).address, request, caller_timeouts);
    if (!reply) {
        observed.code = reply.error().code.message();
        return observed;
    }
    http_stream& stream = *reply.value();
    observed.status = stream.status();
    const std::string id = stream.header("x-request-id");
    observed.request_id = id.empty() ? observed.request_id : id;
    if (observed.status != 200) {
        const result<Json::Value> body = parse_json(stream.read_rest());
        read_error(body ? body.value() : Json::Value(), observed);
        return observed;
    }
    std::string line;
    while (stream.read_line(line)) {
        const std::string prefix = "data: ";
        if (!line.starts_with(prefix)) {
            continue;
        }
        const std::string data = line.substr(prefix.size());
        if (data == "[DONE]") {
            observed.is_complete = true;
            break;
        }
        const result<Json::Value> event = parse_json(data);
        if (event && event.value().isMember("error")) {
            read_error(event.value(), observed);
        } else if (event && !event.value()["choices"].empty()) {
            observed.text += string_member(member(event.value()["choices"][0], "delta"), "content");
        }
    }
    return observed;
}

std::string caller::router_name_at(std::size_t i) const {
    const std::vector<process_info> routers = fleet_.processes("router");
    return routers[i % routers.size()].name;
}

observation caller::chat_until_final(const std::string& prompt, const std::string& key, bool stream,
                                     std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    observation last;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < deadline; ++i) {
        last = chat(router_name_at(i), prompt, key, stream);
        if (is_final_answer(last)) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    return last;
}

observation caller::book_until_final(const std::string& key, std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    observation last;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < deadline; ++i) {
        last = book(router_name_at(i), key);
        if (is_final_answer(last)) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    return last;
}

} // namespace eelgrassgw::test
