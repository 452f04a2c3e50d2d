/// Runs routers and relays as real processes, injects random faults from outside, and checks the gateway's
/// guarantees by what callers and backend servers see. The environment variable EELGRASSGW_SOAK_SEED sets the
/// first seed, EELGRASSGW_SOAK_SEEDS the number of seeds, EELGRASSGW_SOAK_ROUTERS the number of routers, and
/// EELGRASSGW_SOAK_HOSTS the number of hosts (at most 35), each of which runs a relay and two backend
/// servers.

#include "caller_connection.h"
#include "fault_link.h"
#include "gateway/gateway_fixture.h"
#include "gateway/started_program.h"
#include "soak_backend.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto fault_duration = 9s;
constexpr auto recovery_timeout = 12s;
constexpr int callers_per_router = 4;
/// Size of the default fleet. A larger one gets faults more often, in proportion.
constexpr int default_process_count = 5;
constexpr tokens initial_prepaid_tokens_per_router = 50000;
constexpr tokens prompt_tokens = 1000;
constexpr tokens tokens_per_event = 6;

std::uint64_t read_number_from_environment(const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

/// The outcome of one request as its caller saw it.
struct request_outcome {
    std::string id;
    bool may_run_again = false; ///< True if backend servers may run the request more than once.
    unsigned status = 0;        ///< HTTP status, or 0 if the caller did not get a whole answer.
};

/// A router or relay process with its settings and its connection to the store.
struct soak_process {
    std::string program;
    std::string settings_file;
    std::unique_ptr<fault_link> store_link;
    std::unique_ptr<started_program> running;

    void start() {
        running = std::make_unique<started_program>(program, settings_file, settings_file + ".log");
    }
};

class soak_test : public gateway_fixture, public ::testing::WithParamInterface<std::uint64_t> {
protected:
    void SetUp() override {
        random.seed(GetParam());
        state->random.seed(GetParam() + 1);
        state->random_framing.seed(GetParam() + 2);
        random_deadly.seed(GetParam() + 3);
        folder = std::filesystem::temp_directory_path() /
                 ("eelgrass-soak-" + std::to_string(getpid()) + "-" + std::to_string(GetParam()));
        std::filesystem::create_directories(folder);
        routes = {{"/book/", "non_idempotent"},
                  {"/read/", "idempotent"},
                  {"/ask/", "streaming", "models", 3, 4000, true, true},
                  {"/draft/", "streaming", "models", 2, 4000, true, false}};
        configure(routes, version, prepaid_tokens);
        start_fleet();
    }
    void TearDown() override {
        processes.clear();
        if (HasFailure()) {
            std::cout << "the logs of seed " << GetParam() << " are kept in " << folder << "\n";
        } else {
            std::filesystem::remove_all(folder);
        }
    }

    static std::string make_host_address(int host, std::uint16_t port) {
        constexpr int first_host_octet = 220;
        const int pid = getpid();
        return "127." + std::to_string(first_host_octet + host) + "." + std::to_string(pid / 250 % 250) +
               "." + std::to_string(1 + pid % 250) + ":" + std::to_string(port);
    }

    void start_fleet() {
        constexpr std::uint16_t relay_port = 30000;
        for (int host = 0; host < int(host_count); ++host) {
            for (const std::string service : {"models", "plain"}) {
                start_backend(host, service);
            }
            Json::Value document;
            document["name"] = "relay-" + std::to_string(host);
            document["listen"] = make_host_address(host, relay_port);
            add_process("eelgrass-platform-relay", std::move(document));
        }
        for (std::size_t i = 0; i < router_count; ++i) {
            Json::Value document;
            document["name"] = "router-" + std::to_string(i);
            document["data_centre"] = "dc";
            document["listen"] = next_loopback_address();
            router_addresses.push_back(document["listen"].asString());
            document["readiness_listen"] = next_loopback_address();
            document["notice_listen"] = next_loopback_address();
            document["relay_port"] = relay_port;
            document["retry_extra"] = 1000;
            document["stop_limit_s"] = 5;
            add_process("eelgrass-platform-router", std::move(document));
        }
    }

    void start_backend(int host, const std::string& service) {
        const std::string server_address = next_loopback_address();
        const std::string link_address = make_host_address(host, service == "models" ? 30001 : 30002);
        servers.push_back(std::make_unique<soak_backend>(context, server_address, state));
        servers.back()->id = service + "-" + std::to_string(host) + "-1";
        server_links.push_back(std::make_unique<fault_link>(context, link_address, server_address));
        server_addresses.push_back(link_address);
        announce(servers.back()->id, service, link_address, "ready");
        servers.back()->crash = [this, i = servers.size() - 1] {
            asio::co_spawn(context, crash_server(i), asio::detached);
        };
    }

    /// Ends a server and starts it again at its address a little later. Its entry vanishes meanwhile.
    task<void> crash_server(std::size_t i) {
        if (server_links[i]->is_down()) {
            co_return;
        }
        const std::string id = servers[i]->id;
        const std::string service = id.substr(0, id.find('-'));
        remove_entry(id);
        co_await server_links[i]->go_down(milliseconds(500 + random_deadly() % 1500));
        if (servers[i]->id == id) { // Otherwise another server has taken the address over.
            announce(id, service, server_addresses[i], "ready", ++last_started_ms);
        }
    }

    void add_process(const std::string& program, Json::Value document) {
        soak_process process;
        const std::string store_address = next_loopback_address();
        process.store_link = std::make_unique<fault_link>(context, store_address, store.address());
        document["store"] = store_address;
        process.program = program;
        process.settings_file = (folder / (document["name"].asString() + ".json")).string();
        std::ofstream(process.settings_file) << to_text(document);
        process.start();
        processes.push_back(std::move(process));
    }

    unsigned random_below(unsigned bound) { return unsigned(random() % bound); }

    /// Sends one request, checks the answer and returns its status.
    task<unsigned> send_checked_request(caller_connection& connection, std::string target, bool may_run_again,
                                        bool is_stream) {
        const std::string headers = is_stream ? "Model: m\r\nToken-Counts: " + std::to_string(prompt_tokens) +
                                                    ",120\r\nPrompt-Prefix: a" +
                                                    std::to_string(random_below(4)) + ":600,b:400\r\n"
                                              : "";
        const std::string bytes = request(is_stream || !may_run_again ? "POST" : "GET", target, headers);
        const std::string id =
            bytes.substr(bytes.find("id-"), bytes.find("\r\nDeadline") - bytes.find("id-"));
        const auto answer = co_await connection.call(bytes);
        const unsigned status = answer ? answer->result_int() : 0;
        if (status == 200 && is_stream) {
            EXPECT_EQ(make_whole_stream(id), answer->body()) << id;
            delivered_tokens += prompt_tokens + events_per_stream * tokens_per_event;
        } else if (status == 200) {
            EXPECT_EQ(make_plain_answer(id), answer->body());
        }
        outcomes.push_back({id, may_run_again, status});
        co_return status;
    }

    static std::string make_whole_stream(const std::string& id) {
        std::string stream;
        for (int n = 1; n <= events_per_stream; ++n) {
            stream += make_stream_event(id, n);
        }
        return stream;
    }

    /// Sends a request whose prompt has the deadly part to the router with this index. It must not succeed.
    task<unsigned> send_deadly_request(std::size_t router) {
        const std::string headers = "Model: m\r\nToken-Counts: " + std::to_string(prompt_tokens) +
                                    ",120\r\nPrompt-Prefix: a" + std::to_string(random_deadly() % 4) +
                                    ":400," + deadly_part + ":200,b" + std::to_string(random_deadly()) +
                                    ":400\r\n";
        raw_caller caller(context);
        co_await caller.connect(router_addresses[router]);
        const std::string target =
            random_deadly() % 2 == 0 ? "/draft/" : "/ask/"; // The latter is sent again.
        co_await caller.send(request("POST", target + std::to_string(random_deadly() % 100), headers));
        const auto answer = co_await caller.read_answer(6s);
        const unsigned status = answer ? answer->result_int() : 0;
        EXPECT_NE(200U, status) << "a request that ended its server was answered as complete";
        co_return status;
    }

    task<void> run_deadly_caller() {
        ++active_callers;
        while (!stopping) {
            co_await sleep_for(milliseconds(400 + random_deadly() % 1200));
            co_await send_deadly_request(random_deadly() % router_count);
        }
        --active_callers;
    }

    /// Leaves entries among those of the servers that no router can use, as another writer might.
    task<void> leave_odd_entries() {
        const std::array odd = {std::string(3000, '[') + std::string(3000, ']'),
                                std::string("{\"slots\":1e999}"),
                                std::string("{\"service\":\"plain\",\"address\":\"127.0.0.1:70000\"}")};
        for (std::size_t i = 0; !stopping; ++i) {
            store.put_text("servers", "odd-" + std::to_string(i % 5), odd.at(random_deadly() % odd.size()));
            co_await sleep_for(milliseconds(300 + random_deadly() % 900));
        }
    }

    /// Expects that the routers keep the deadly part from the servers once five of them have crashed, now
    /// that no fault is in the way, and that requests with the same first parts are served.
    task<void> expect_quarantine() {
        constexpr int crashes_before_bound = 5;
        constexpr int max_requests_after_bound = 3;
        constexpr auto contact_time = 3s;
        const auto deadline = std::chrono::steady_clock::now() + recovery_timeout;
        while (state->crashes < crashes_before_bound && std::chrono::steady_clock::now() < deadline) {
            const unsigned status = co_await send_deadly_request(random_deadly() % router_count);
            if (status == 503 && state->crashes > 0) {
                break; // The routers know the part already.
            }
            co_await sleep_for(500ms);
        }
        co_await sleep_for(contact_time);
        const int crashes = state->crashes;
        for (std::size_t i = 0; i < 20; ++i) {
            co_await send_deadly_request(i % router_count);
        }
        EXPECT_LE(state->crashes - crashes, max_requests_after_bound)
            << "requests with the deadly part went on to reach servers after " << crashes << " crashes";
    }

    task<unsigned> send_random_request(caller_connection& connection) {
        const std::string number = std::to_string(random_below(100));
        switch (random_below(4)) {
        case 0:
            return send_checked_request(connection, "/book/" + number, false, false);
        case 1:
            return send_checked_request(connection, "/read/" + number, true, false);
        case 2:
            return send_checked_request(connection, "/ask/" + number, true, true);
        default:
            return send_checked_request(connection, "/draft/" + number, false, true);
        }
    }

    task<void> run_caller() {
        ++active_callers;
        caller_connection connection(context, router_addresses, random);
        while (!stopping) {
            co_await send_random_request(connection);
            co_await sleep_for(milliseconds(random_below(60)));
        }
        --active_callers;
    }

    task<void> inject_process_fault(soak_process& process) {
        switch (random_below(4)) {
        case 0:
            process.running->send_signal(SIGKILL);
            break;
        case 1:
            process.running->send_signal(SIGSTOP);
            co_await sleep_for(milliseconds(200 + random_below(1500)));
            process.running->send_signal(SIGCONT);
            co_return;
        case 2:
            process.running->send_signal(SIGTERM);
            (void)co_await process.running->wait_for_exit_code(7s);
            break;
        default:
            process.running->send_signal(SIGHUP);
            co_return;
        }
        co_await sleep_for(milliseconds(random_below(600)));
        process.start();
    }

    task<void> inject_link_fault(fault_link& link) {
        constexpr std::array faults = {link_fault::delayed, link_fault::silent, link_fault::answers_dropped};
        if (random_below(4) == 0) {
            link.reset_connections();
            co_return;
        }
        link.set(faults.at(random_below(3)));
        co_await sleep_for(milliseconds(300 + random_below(1800)));
        link.set(link_fault::none);
    }

    task<void> inject_store_fault() {
        store.write_answers_to_lose = int(random_below(3));
        store.watch_history_expired = random_below(3) == 0;
        (random_below(2) == 0 ? store.silent : store.busy) = true;
        co_await sleep_for(milliseconds(200 + random_below(1500)));
        store.silent = false;
        store.busy = false;
    }

    task<void> change_configuration() {
        prepaid_tokens += 20000;
        configure(routes, ++version, prepaid_tokens);
        co_return;
    }

    void remove_entry(const std::string& id) {
        if (!store.spec("servers", id).isNull()) {
            store.remove("servers", id);
        }
    }

    /// Drains a server, removes it, and starts another one at its address.
    task<void> replace_server(std::size_t i) {
        const std::string old_id = servers[i]->id;
        const std::string service = old_id.substr(0, old_id.find('-'));
        announce(old_id, service, server_addresses[i], "draining");
        co_await sleep_for(2500ms);
        remove_entry(old_id);
        servers[i]->id = old_id + "x";
        announce(servers[i]->id, service, server_addresses[i], "ready");
    }

    /// Injects one fault of the given kind. Faults overlap, as the next one may begin before this one ends.
    task<void> inject_fault(std::size_t kind) {
        ++active_faults;
        if (kind < processes.size()) {
            co_await inject_process_fault(processes[kind]);
        } else if (kind < 2 * processes.size()) {
            co_await inject_link_fault(*processes[kind - processes.size()].store_link);
        } else if (kind < 2 * processes.size() + servers.size()) {
            co_await inject_link_fault(*server_links[kind - 2 * processes.size()]);
        } else if (kind % 3 == 0) {
            co_await inject_store_fault();
        } else if (kind % 3 == 1) {
            co_await change_configuration();
        } else {
            co_await replace_server(random_below(unsigned(servers.size())));
        }
        --active_faults;
        active_fault_kinds.erase(kind);
    }

    task<void> inject_random_faults() {
        constexpr std::size_t others = 4;
        const std::size_t kinds = 2 * processes.size() + servers.size() + others;
        const double relative_size = double(processes.size()) / default_process_count;
        while (!stopping) {
            const std::size_t kind = random_below(unsigned(kinds));
            if (active_fault_kinds.insert(kind).second) {
                asio::co_spawn(context, inject_fault(kind), asio::detached);
            }
            const double pause_ms = (150 + random_below(600)) / relative_size;
            co_await sleep_for(milliseconds(int(pause_ms)));
        }
    }

    /// Injects faults under load, waits for all of them to end, and expects the fleet to recover.
    task<void> run_faults_and_recover() {
        co_await sleep_for(1500ms);
        for (std::size_t i = 0; i < callers_per_router * router_count; ++i) {
            asio::co_spawn(context, run_caller(), asio::detached);
        }
        asio::co_spawn(context, run_deadly_caller(), asio::detached);
        asio::co_spawn(context, leave_odd_entries(), asio::detached);
        asio::co_spawn(context, inject_random_faults(), asio::detached);
        co_await sleep_for(fault_duration);
        stopping = true;
        while (active_callers > 0 || active_faults > 0) {
            co_await sleep_for(20ms);
        }
        state->failures_disabled = true;
        co_await expect_quarantine();
        co_await expect_recovery();
    }

    task<void> expect_recovery() {
        constexpr int required_successes = 10;
        const auto deadline = std::chrono::steady_clock::now() + recovery_timeout;
        int consecutive_successes = 0;
        while (consecutive_successes < required_successes && std::chrono::steady_clock::now() < deadline) {
            caller_connection reader(context, router_addresses, random);
            const unsigned read = co_await send_checked_request(reader, "/read/1", true, false);
            caller_connection asker(context, router_addresses, random);
            const unsigned asked = co_await send_checked_request(asker, "/ask/1", true, true);
            consecutive_successes =
                read == 200 && (asked == 200 || asked == 402) ? consecutive_successes + 1 : 0;
            co_await sleep_for(50ms);
        }
        EXPECT_EQ(required_successes, consecutive_successes)
            << "the fleet did not recover after the faults ended";
    }

    void check_guarantees() {
        int served = 0;
        for (const request_outcome& each : outcomes) {
            const auto it = state->runs.find(each.id);
            const int runs = it == state->runs.end() ? 0 : it->second;
            const bool says_not_run = each.status == 429 || each.status == 503;
            served += each.status == 200 ? 1 : 0;
            if (!each.may_run_again) {
                EXPECT_LE(runs, 1) << each.id << " ran more than once; the caller got status " << each.status;
                EXPECT_FALSE(says_not_run && runs > 0)
                    << each.id << " ran although the caller got status " << each.status;
            }
        }
        EXPECT_LE(delivered_tokens, prepaid_tokens)
            << "the callers received more tokens than the customer has prepaid";
        EXPECT_GT(served, int(outcomes.size()) / 5)
            << "too few requests succeeded of " << outcomes.size() << " requests";
        std::map<unsigned, int> count_by_status;
        for (const request_outcome& each : outcomes) {
            ++count_by_status[each.status];
        }
        for (const auto& [status, n] : count_by_status) {
            std::cout << "status " << status << ": " << n << "\n";
        }
        std::cout << "seed " << GetParam() << ": " << served << " of " << outcomes.size()
                  << " requests served, " << delivered_tokens << " of " << prepaid_tokens
                  << " tokens delivered, " << state->crashes << " servers crashed\n";
    }

    const std::size_t router_count = read_number_from_environment("EELGRASSGW_SOAK_ROUTERS", 2);
    const std::size_t host_count = read_number_from_environment("EELGRASSGW_SOAK_HOSTS", 3);
    std::mt19937 random;
    std::mt19937 random_deadly; ///< Source of the choices for requests with the deadly part.
    std::filesystem::path folder;
    std::vector<test_route> routes;
    std::uint64_t version = 1;
    tokens prepaid_tokens = initial_prepaid_tokens_per_router * tokens(router_count);
    std::shared_ptr<soak_state> state = std::make_shared<soak_state>();
    std::vector<std::unique_ptr<soak_backend>> servers;
    std::vector<std::unique_ptr<fault_link>> server_links;
    std::vector<std::string> server_addresses;
    std::vector<soak_process> processes;       ///< All relays, followed by all routers.
    std::vector<std::string> router_addresses; ///< Addresses at which the routers accept callers.
    std::vector<request_outcome> outcomes;
    tokens delivered_tokens = 0;              ///< Tokens of all complete streams.
    std::int64_t last_started_ms = 0;         ///< Start time of the server that was started last.
    int active_callers = 0;                   ///< Number of callers that still send requests.
    int active_faults = 0;                    ///< Number of faults that are in progress.
    std::set<std::size_t> active_fault_kinds; ///< Kinds of the faults that are in progress.
    bool stopping = false;                    ///< True once callers and faults must stop.
};

TEST_P(soak_test, promises_hold) {
    run_task(
        context, [this]() -> task<void> { return run_faults_and_recover(); }, 90s);
    check_guarantees();
}

INSTANTIATE_TEST_SUITE_P(seeds, soak_test,
                         ::testing::Range(read_number_from_environment("EELGRASSGW_SOAK_SEED", 1),
                                          read_number_from_environment("EELGRASSGW_SOAK_SEED", 1) +
                                              read_number_from_environment("EELGRASSGW_SOAK_SEEDS", 3)));

} // namespace
} // namespace eelgrassgw
