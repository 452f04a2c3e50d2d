#include "eelgrassgw/run/run_outcome.h"

#include <array>

namespace eelgrassgw {

namespace {

struct named_state {
    run_state state;
    const char* name;
};

constexpr std::array<named_state, 6> state_names = {{{run_state::queued, "queued"},
                                                     {run_state::running, "running"},
                                                     {run_state::done, "done"},
                                                     {run_state::failed, "failed"},
                                                     {run_state::cancelled, "cancelled"},
                                                     {run_state::not_run, "not_run"}}};

} // namespace

const char* to_text(run_state state) {
    for (const named_state& entry : state_names) {
        if (entry.state == state) {
            return entry.name;
        }
    }
    return "queued";
}

result<run_state> run_state_from_text(const std::string& text) {
    for (const named_state& entry : state_names) {
        if (text == entry.name) {
            return entry.state;
        }
    }
    return make_failure(errc::malformed, "read run state", "", "\"" + text + "\" is no run state");
}

Json::Value run_outcome::to_json() const {
    Json::Value json;
    json["state"] = to_text(state);
    json["used"] = Json::Int64(used);
    json["withheld"] = Json::Int64(withheld);
    json["prompt_tokens"] = Json::Int64(prompt_tokens);
    json["generated_tokens"] = Json::Int64(generated_tokens);
    json["status"] = status;
    json["finish"] = finish_reason;
    json["message"] = message;
    return json;
}

result<run_outcome> run_outcome::from_json(const Json::Value& json) {
    const result<run_state> state = run_state_from_text(string_member(json, "state"));
    if (!state) {
        return state.error();
    }
    run_outcome outcome;
    outcome.state = state.value();
    outcome.used = int_member(json, "used");
    outcome.withheld = int_member(json, "withheld");
    outcome.prompt_tokens = int_member(json, "prompt_tokens");
    outcome.generated_tokens = int_member(json, "generated_tokens");
    outcome.status = static_cast<int>(int_member(json, "status", 200));
    outcome.finish_reason = string_member(json, "finish");
    outcome.message = string_member(json, "message");
    return outcome;
}

} // namespace eelgrassgw
