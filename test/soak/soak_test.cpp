/// A randomized soak: routers and relays as real processes, faults from outside, promises checked by what
/// callers and backend servers see. EELGRASSGW_SOAK_SEED is the first seed, EELGRASSGW_SOAK_SEEDS how many
/// follow.

#include "fault_link.h"
#include "gateway/gateway_fixture.h"
#include "gateway/started_program.h"
#include "soak_backend.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <set>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto play_time = 9s;
constexpr auto recovery_limit = 12s;
constexpr int routers = 2;
constexpr int hosts = 3; ///< Each has a backend server for models, one for plain requests, and a relay.
constexpr tokens first_prepaid = 100000;
constexpr tokens prompt_tokens = 1000;
constexpr tokens tokens_per_event = 6;

std::uint64_t setting(const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

/// What a caller saw of one request.
struct seen_request {
    std::string id;
    bool may_run_again = false;
    unsigned status = 0; ///< 0: no whole answer.
};

/// A process with its settings and its way to the store.
struct soak_process {
    std::string program;
    std::string settings_file;
    std::unique_ptr<fault_link> to_store;
    std::unique_ptr<started_program> running;

    void start() { running = std::make_unique<started_program>(program, settings_file); }
};

class soak_test : public gateway_fixture, public ::testing::WithParamInterface<std::uint64_t> {
protected:
    void SetUp() override {
        random.seed(GetParam());
        record->random.seed(GetParam() + 1);
        folder = std::filesystem::temp_directory_path() / ("eelgrass-soak-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder);
        routes = {{"/book/", "non_idempotent"},
                  {"/read/", "idempotent"},
                  {"/ask/", "streaming", "models", 3, 4000, true, true},
                  {"/draft/", "streaming", "models", 2, 4000, true, false}};
        configure(routes, version, prepaid);
        start_fleet();
    }
    void TearDown() override {
        processes.clear();
        std::filesystem::remove_all(folder);
    }

    static std::string host_address(int host, std::uint16_t port) {
        const int pid = getpid();
        return "127." + std::to_string(220 + host) + "." + std::to_string(pid / 250 % 250) + "." +
               std::to_string(1 + pid % 250) + ":" + std::to_string(port);
    }

    void start_fleet() {
        constexpr std::uint16_t relay_port = 30000;
        for (int host = 0; host < hosts; ++host) {
            for (const std::string service : {"models", "plain"}) {
                start_backend(host, service);
            }
            Json::Value document;
            document["name"] = "relay-" + std::to_string(host);
            document["listen"] = host_address(host, relay_port);
            add_process("eelgrass-platform-relay", std::move(document));
        }
        for (int i = 0; i < routers; ++i) {
            Json::Value document;
            document["name"] = "router-" + std::to_string(i);
            document["data_centre"] = "dc";
            document["listen"] = next_loopback_address();
            listens.push_back(document["listen"].asString());
            document["readiness_listen"] = next_loopback_address();
            document["notice_listen"] = next_loopback_address();
            document["relay_port"] = relay_port;
            document["retry_extra"] = 1000;
            document["stop_limit_s"] = 5;
            add_process("eelgrass-platform-router", std::move(document));
        }
    }

    void start_backend(int host, const std::string& service) {
        const std::string inner = next_loopback_address();
        const std::string outer = host_address(host, service == "models" ? 30001 : 30002);
        servers.push_back(std::make_unique<soak_backend>(context, inner, record));
        servers.back()->id = service + "-" + std::to_string(host) + "-1";
        server_links.push_back(std::make_unique<fault_link>(context, outer, inner));
        server_addresses.push_back(outer);
        announce(servers.back()->id, service, outer, "ready");
    }

    void add_process(const std::string& program, Json::Value document) {
        soak_process made;
        const std::string link = next_loopback_address();
        made.to_store = std::make_unique<fault_link>(context, link, store.address());
        document["store"] = link;
        made.program = program;
        made.settings_file = (folder / (document["name"].asString() + ".json")).string();
        std::ofstream(made.settings_file) << to_text(document);
        made.start();
        processes.push_back(std::move(made));
    }

    unsigned roll(unsigned bound) { return unsigned(random() % bound); }

    /// One request at one router, checked at once for what its answer must be.
    task<unsigned> ask(std::string target, bool may_run_again, bool is_stream) {
        const std::string headers = is_stream ? "Model: m\r\nToken-Counts: " + std::to_string(prompt_tokens) +
                                                    ",120\r\nPrompt-Prefix: a" + std::to_string(roll(4)) +
                                                    ":600,b:400\r\n"
                                              : "";
        const std::string bytes = request(is_stream || !may_run_again ? "POST" : "GET", target, headers);
        const std::string id =
            bytes.substr(bytes.find("id-"), bytes.find("\r\nDeadline") - bytes.find("id-"));
        raw_caller caller(context);
        co_await caller.connect(listens[roll(routers)]);
        co_await caller.send(bytes);
        const auto answer = co_await caller.read_answer(6s);
        const unsigned status = answer ? answer->result_int() : 0;
        if (status == 200 && is_stream) {
            EXPECT_EQ(whole_stream(id), answer->body()) << id;
            delivered += prompt_tokens + soak_events * tokens_per_event;
        } else if (status == 200) {
            EXPECT_EQ(plain_answer(id), answer->body());
        }
        seen.push_back({id, may_run_again, status});
        co_return status;
    }

    static std::string whole_stream(const std::string& id) {
        std::string all;
        for (int n = 1; n <= soak_events; ++n) {
            all += soak_event(id, n);
        }
        return all;
    }

    task<unsigned> ask_anything() {
        switch (roll(4)) {
        case 0:
            return ask("/book/" + std::to_string(roll(100)), false, false);
        case 1:
            return ask("/read/" + std::to_string(roll(100)), true, false);
        case 2:
            return ask("/ask/" + std::to_string(roll(100)), true, true);
        default:
            return ask("/draft/" + std::to_string(roll(100)), false, true);
        }
    }

    task<void> call_on() {
        ++callers;
        while (!over) {
            co_await ask_anything();
            co_await sleep_for(milliseconds(roll(60)));
        }
        --callers;
    }

    task<void> harm_process(soak_process& process) {
        switch (roll(4)) {
        case 0:
            process.running->send_signal(SIGKILL);
            break;
        case 1:
            process.running->send_signal(SIGSTOP);
            co_await sleep_for(milliseconds(200 + roll(1500)));
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
        co_await sleep_for(milliseconds(roll(600)));
        process.start();
    }

    task<void> harm_link(fault_link& link) {
        constexpr std::array faults = {link_fault::delayed, link_fault::silent, link_fault::answers_dropped};
        if (roll(4) == 0) {
            link.reset_connections();
            co_return;
        }
        link.set(faults.at(roll(3)));
        co_await sleep_for(milliseconds(300 + roll(1800)));
        link.set(link_fault::none);
    }

    task<void> harm_store() {
        store.write_answers_to_lose = int(roll(3));
        store.watch_history_expired = roll(3) == 0;
        (roll(2) == 0 ? store.silent : store.busy) = true;
        co_await sleep_for(milliseconds(200 + roll(1500)));
        store.silent = false;
        store.busy = false;
    }

    task<void> change_configuration() {
        prepaid += 20000;
        configure(routes, ++version, prepaid);
        co_return;
    }

    /// A server leaves as planned and another one starts at its address.
    task<void> replace_server(std::size_t i) {
        const std::string old = servers[i]->id;
        const std::string service = old.substr(0, old.find('-'));
        announce(old, service, server_addresses[i], "draining");
        co_await sleep_for(2500ms);
        store.remove("servers", old);
        servers[i]->id = old + "x";
        announce(servers[i]->id, service, server_addresses[i], "ready");
    }

    /// Faults overlap: each runs on while the next begins.
    task<void> do_harm(std::size_t kind) {
        ++harms;
        if (kind < processes.size()) {
            co_await harm_process(processes[kind]);
        } else if (kind < 2 * processes.size()) {
            co_await harm_link(*processes[kind - processes.size()].to_store);
        } else if (kind < 2 * processes.size() + servers.size()) {
            co_await harm_link(*server_links[kind - 2 * processes.size()]);
        } else if (kind % 3 == 0) {
            co_await harm_store();
        } else if (kind % 3 == 1) {
            co_await change_configuration();
        } else {
            co_await replace_server(roll(unsigned(servers.size())));
        }
        --harms;
        busy.erase(kind);
    }

    task<void> harm_on() {
        constexpr std::size_t others = 4;
        const std::size_t kinds = 2 * processes.size() + servers.size() + others;
        while (!over) {
            const std::size_t kind = roll(unsigned(kinds));
            if (busy.insert(kind).second) {
                asio::co_spawn(context, do_harm(kind), asio::detached);
            }
            co_await sleep_for(milliseconds(150 + roll(600)));
        }
    }

    /// Plays the faults, lets all end, and waits until the fleet serves again.
    task<void> play() {
        co_await sleep_for(1500ms);
        for (int i = 0; i < 8; ++i) {
            asio::co_spawn(context, call_on(), asio::detached);
        }
        asio::co_spawn(context, harm_on(), asio::detached);
        co_await sleep_for(play_time);
        over = true;
        while (callers > 0 || harms > 0) {
            co_await sleep_for(20ms);
        }
        record->calm = true;
        co_await expect_recovery();
    }

    task<void> expect_recovery() {
        constexpr int enough = 10;
        const auto until = std::chrono::steady_clock::now() + recovery_limit;
        int in_a_row = 0;
        while (in_a_row < enough && std::chrono::steady_clock::now() < until) {
            const unsigned read = co_await ask("/read/1", true, false);
            const unsigned asked = co_await ask("/ask/1", true, true);
            in_a_row = read == 200 && (asked == 200 || asked == 402) ? in_a_row + 1 : 0;
            co_await sleep_for(50ms);
        }
        EXPECT_EQ(enough, in_a_row) << "the fleet did not serve again";
    }

    void check_promises() {
        int served = 0;
        for (const seen_request& each : seen) {
            const auto it = record->runs.find(each.id);
            const int runs = it == record->runs.end() ? 0 : it->second;
            const bool says_not_run = each.status == 429 || each.status == 503;
            served += each.status == 200 ? 1 : 0;
            if (!each.may_run_again) {
                EXPECT_LE(runs, 1) << each.id << " ran more than once, status " << each.status;
                EXPECT_FALSE(says_not_run && runs > 0) << each.id << " ran and was answered " << each.status;
            }
        }
        EXPECT_LE(delivered, prepaid) << "more was delivered than was paid for";
        EXPECT_GT(served, int(seen.size()) / 5) << "of " << seen.size() << " requests";
        std::cout << "seed " << GetParam() << ": " << served << " of " << seen.size() << " requests served, "
                  << delivered << " of " << prepaid << " tokens delivered\n";
    }

    std::mt19937 random;
    std::filesystem::path folder;
    std::vector<test_route> routes;
    std::uint64_t version = 1;
    tokens prepaid = first_prepaid;
    std::shared_ptr<soak_record> record = std::make_shared<soak_record>();
    std::vector<std::unique_ptr<soak_backend>> servers;
    std::vector<std::unique_ptr<fault_link>> server_links;
    std::vector<std::string> server_addresses;
    std::vector<soak_process> processes; ///< Relays, then routers.
    std::vector<std::string> listens;    ///< Of the routers.
    std::vector<seen_request> seen;
    tokens delivered = 0;
    int callers = 0;
    int harms = 0;
    std::set<std::size_t> busy; ///< Faults that are going on.
    bool over = false;
};

TEST_P(soak_test, promises_hold) {
    run_task(
        context, [this]() -> task<void> { return play(); }, 60s);
    check_promises();
}

INSTANTIATE_TEST_SUITE_P(seeds, soak_test,
                         ::testing::Range(setting("EELGRASSGW_SOAK_SEED", 1),
                                          setting("EELGRASSGW_SOAK_SEED", 1) +
                                              setting("EELGRASSGW_SOAK_SEEDS", 3)));

} // namespace
} // namespace eelgrassgw
