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
    Json::Value to;
    to["state"] = to_text(state);
    to["used"] = Json::Int64(used);
    to["withheld"] = Json::Int64(withheld);
    to["prompt_tokens"] = Json::Int64(prompt_tokens);
    to["generated_tokens"] = Json::Int64(generated_tokens);
    to["status"] = status;
    to["finish"] = finish_reason;
    to["message"] = message;
    return to;
}

result<run_outcome> run_outcome::from_json(const Json::Value& from) {
    const result<run_state> state = run_state_from_text(string_member(from, "state"));
    if (!state) {
        return state.error();
    }
    run_outcome outcome;
    outcome.state = state.value();
    outcome.used = int_member(from, "used");
    outcome.withheld = int_member(from, "withheld");
    outcome.prompt_tokens = int_member(from, "prompt_tokens");
    outcome.generated_tokens = int_member(from, "generated_tokens");
    outcome.status = static_cast<int>(int_member(from, "status", 200));
    outcome.finish_reason = string_member(from, "finish");
    outcome.message = string_member(from, "message");
    return outcome;
}

} // namespace eelgrassgw
