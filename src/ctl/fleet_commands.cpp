/// Implements the commands about the processes of the fleet: held, explain, drain and forget-agent.

#include "command.h"
#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/journal/journal_store.h"
#include "eelgrassgw/membership/agent_registration.h"
#include "eelgrassgw/membership/recent_requests.h"
#include "eelgrassgw/transport/fleet_peer.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace eelgrassgw::ctl {

namespace {

std::vector<Json::Value> read_log_lines(const std::string& request_id, const std::string& files) {
    std::vector<Json::Value> lines;
    std::istringstream names(files);
    std::string name;
    while (std::getline(names, name, ',')) {
        std::ifstream in(name);
        std::string line;
        while (std::getline(in, line)) {
            const result<Json::Value> parsed = parse_json(line);
            if (parsed && string_member(parsed.value(), "request_id") == request_id) {
                lines.push_back(parsed.value());
            }
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Json::Value& a, const Json::Value& b) {
        return int_member(a, "time_ms") < int_member(b, "time_ms");
    });
    return lines;
}

std::string describe_line(const Json::Value& line) {
    std::string text;
    for (const std::string& name : line.getMemberNames()) {
        const bool is_common_field = name == "time_ms" || name == "process" || name == "event" ||
                                     name == "level" || name == "request_id";
        if (!is_common_field && line[name] != Json::Value("")) {
            text += name + "=" + to_text(line[name]) + " ";
        }
    }
    return text;
}

/// Writes the list of requests with an idempotency key that may have run at the agent, on behalf of the lost
/// agent, which would have written the list itself.
result<done> write_request_memory(http_object_store& store, const options& flags) {
    request_memory<http_object_store> memory(store);
    Json::Value params;
    params["backend_server"] = flags.agent;
    const result<std::vector<std::string>> ids =
        memory.collect(flags.agent, [&](const router_member& router) {
            return ask_recent_requests(router, flags.fleet_key, params);
        });
    if (!ids) {
        return ids.error();
    }
    return memory.write(flags.agent, ids.value());
}

} // namespace

int held(http_object_store& store, const options& flags) {
    const result<object_changes> routers = store.list(routers_prefix);
    const result<object_changes> ledger = store.list(ledger_prefix);
    if (!routers || !ledger) {
        return report_failure(routers ? ledger.error() : routers.error());
    }
    std::map<std::string, tokens> held_tokens;
    for (const stored_object& object : ledger.value().changed) {
        if (!is_ledger_key(object.key)) {
            continue;
        }
        const result<ledger_shard> shard = ledger_shard::from_text(object.value);
        if (!shard) {
            return report_failure(shard.error());
        }
        for (const auto& [name, holder] : shard.value().holders()) {
            for (const auto& [budget, amount] : holder.allowances) {
                held_tokens[name] += amount;
            }
        }
    }
    std::vector<std::vector<std::string>> rows = {{"router", "state", "tokens", "why"}};
    Json::Value json(Json::arrayValue);
    for (const stored_object& object : routers.value().changed) {
        const result<router_member> router = router_member::from_object(object);
        const bool is_shown =
            router && (router.value().state == member_state::sealed || !router.value().recovery_note.empty());
        if (!is_shown) {
            continue;
        }
        const router_member& r = router.value();
        const bool is_closed = r.state == member_state::closed;
        const std::string why = is_closed                 ? "withheld: " + r.recovery_note
                                : r.recovery_note.empty() ? "recovery has begun"
                                                          : "recovery waits for " + r.recovery_note;
        rows.push_back({r.incarnation, to_text(r.state), std::to_string(held_tokens[r.incarnation]), why});
        Json::Value entry;
        entry["router"] = r.incarnation;
        entry["state"] = to_text(r.state);
        entry["tokens"] = Json::Int64(held_tokens[r.incarnation]);
        entry["why"] = why;
        json.append(entry);
    }
    if (flags.print_as_json) {
        print_json(json);
    } else {
        print_table(rows);
    }
    return exit_ok;
}

int explain(http_object_store& store, const options& flags) {
    if (flags.id.empty()) {
        std::cerr
            << "eelgrassctl: explain needs --id (the request id) and, for decisions, --logs=FILE,FILE\n";
        return exit_usage;
    }
    const result<object_changes> journals = store.list(journal_prefix);
    if (!journals) {
        return report_failure(journals.error());
    }
    std::vector<std::vector<std::string>> rows = {{"time_ms", "process", "event", "what and why"}};
    Json::Value json;
    json["decisions"] = Json::arrayValue;
    json["records"] = Json::arrayValue;
    for (const Json::Value& line : read_log_lines(flags.id, flags.log_files)) {
        rows.push_back({std::to_string(int_member(line, "time_ms")), string_member(line, "process"),
                        string_member(line, "event"), describe_line(line)});
        json["decisions"].append(line);
    }
    for (const stored_object& object : journals.value().changed) {
        const result<journal_segment> segment = journal_segment::from_text(object.value);
        if (!segment) {
            continue;
        }
        for (const billing_record& record : segment.value().records) {
            if (record.request_id == flags.id) {
                rows.push_back({"", object.key, "billing record", describe_line(record.to_json())});
                json["records"].append(record.to_json());
            }
        }
    }
    if (flags.print_as_json) {
        print_json(json);
    } else {
        print_table(rows);
    }
    return rows.size() > 1 ? exit_ok : exit_refused;
}

int drain(http_object_store& store, const options& flags) {
    const result<std::optional<stored_object>> object = store.get(agent_key(flags.agent));
    if (!object) {
        return report_failure(object.error());
    }
    if (!object.value()) {
        std::cerr << "eelgrassctl: backend server \"" << flags.agent << "\" has no registered agent\n";
        return exit_refused;
    }
    const result<agent_member> agent = agent_member::from_object(*object.value());
    if (!agent) {
        return report_failure(agent.error());
    }
    const result<Json::Value> reply = call_peer(agent.value().address, flags.fleet_key, "drain",
                                                Json::Value(Json::objectValue), http_timeouts{});
    if (!reply) {
        return report_failure(reply.error());
    }
    std::cout << "backend server \"" << flags.agent << "\" takes no new work\n";
    return exit_ok;
}

int forget_agent(http_object_store& store, const options& flags) {
    if (flags.agent.empty() || flags.reason.empty() || flags.fleet_key.empty()) {
        std::cerr << "eelgrassctl: forget-agent needs --agent, --fleet_key and --reason (the proof that its "
                     "VM no longer runs)\n";
        return exit_usage;
    }
    agent_member replacement;
    replacement.backend_server = flags.agent;
    replacement.incarnation = flags.agent + "-forgotten-" + random_id();
    replacement.address = {"127.0.0.1", 1};
    replacement.data_centre = "none: " + flags.reason;
    replacement.state = member_state::closed;
    const result<done> written = write_request_memory(store, flags);
    if (!written) {
        return report_failure(written.error());
    }
    const result<done> replaced = agent_registration<http_object_store>(store, replacement).register_now();
    if (!replaced) {
        return report_failure(replaced.error());
    }
    std::cout << "the agent of backend server \"" << flags.agent
              << "\" counts as lost: what its records would have "
              << "told stays withheld\n";
    return exit_ok;
}

} // namespace eelgrassgw::ctl
