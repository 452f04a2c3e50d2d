#pragma once

/// Test fixture that runs routers and relays as real processes and injects random faults from outside.

#include "fault_link.h"
#include "gateway/gateway_fixture.h"
#include "gateway/started_program.h"
#include "soak_backend.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrassgw {

inline std::uint64_t read_number_from_environment(const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

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

/// Runs a fleet of processes whose faults follow from a seed. Not thread-safe.
class soak_fleet : public gateway_fixture, public ::testing::WithParamInterface<std::uint64_t> {
protected:
    using milliseconds = std::chrono::milliseconds;

    /// Size of the default fleet. A larger one gets faults more often, in proportion.
    static constexpr int default_process_count = 5;
    static constexpr tokens initial_prepaid_tokens_per_router = 50000;
    /// Size of the body of an upload, which its server answers before it has read it.
    static constexpr std::size_t upload_bytes = 6U << 20U;

    static std::uint64_t seed() { return GetParam(); }

    void SetUp() override {
        random.seed(seed());
        state->random.seed(seed() + 1);
        state->random_framing.seed(seed() + 2);
        random_deadly.seed(seed() + 3);
        state->random_refusals.seed(seed() + 4);
        state->random_odd_answers.seed(seed() + 5);
        random_eager.seed(seed() + 6);
        random_versions.seed(seed() + 7);
        folder = std::filesystem::temp_directory_path() /
                 ("eelgrass-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed()));
        std::filesystem::create_directories(folder);
        routes = {{"/book/", "non_idempotent"},
                  {"/read/", "idempotent"},
                  {"/ask/", "streaming", "models", 3, 4000, true, true},
                  {"/draft/", "streaming", "models", 2, 4000, true, false},
                  {"/upload/", "non_idempotent", "uploads"}};
        max_body_bytes = 2 * upload_bytes;
        configure(routes, version, prepaid_tokens);
        start_fleet();
    }
    void TearDown() override {
        processes.clear();
        if (HasFailure()) {
            std::cout << "the logs of seed " << seed() << " are kept in " << folder << "\n";
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
        add_backend("uploads-1", "uploads", answering_uploads_early(state), script_start::after_head);
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
        servers.back()->version = draw_version();
        announce_server(servers.size() - 1);
        servers.back()->crash = [this, i = servers.size() - 1] {
            asio::co_spawn(context, crash_server(i), asio::detached);
        };
    }

    /// Returns a software version, of which several are in service at any time.
    std::string draw_version() { return "v" + std::to_string(1 + random_versions() % 3); }

    /// Writes the entry of a server, as it writes it when it starts.
    void announce_server(std::size_t i, std::int64_t started_ms = 0) {
        const std::string& id = servers[i]->id;
        announce(id, id.substr(0, id.find('-')), server_addresses[i], "ready", started_ms,
                 servers[i]->version);
    }

    /// Ends a server and starts it again at its address a little later. Its entry vanishes meanwhile.
    task<void> crash_server(std::size_t i) {
        if (server_links[i]->is_down()) {
            co_return;
        }
        const std::string id = servers[i]->id;
        remove_entry(id);
        co_await server_links[i]->go_down(milliseconds(500 + random_deadly() % 1500));
        if (servers[i]->id == id) { // Otherwise another server has taken the address over.
            announce_server(i, ++last_started_ms);
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
            (void)co_await process.running->wait_for_exit_code(std::chrono::seconds(7));
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
        if (!changing_servers.insert(i).second) {
            co_return;
        }
        const std::string old_id = servers[i]->id;
        const std::string service = old_id.substr(0, old_id.find('-'));
        announce(old_id, service, server_addresses[i], "draining", 0, servers[i]->version);
        co_await sleep_for(milliseconds(2500));
        remove_entry(old_id);
        servers[i]->id = old_id + "x";
        servers[i]->version = draw_version();
        announce_server(i);
        changing_servers.erase(i);
    }

    /// Gives a server a new id whose entry stands beside the old one for a while, as after a restart that no
    /// heartbeat has missed yet.
    task<void> restart_with_new_id(std::size_t i) {
        if (!changing_servers.insert(i).second) {
            co_return;
        }
        ++active_faults;
        const std::string old_id = servers[i]->id;
        servers[i]->id = old_id + "n";
        servers[i]->version = draw_version();
        announce_server(i);
        co_await sleep_for(milliseconds(1500));
        remove_entry(old_id);
        changing_servers.erase(i);
        --active_faults;
    }

    /// Pauses a server, as a signal that stops its process does.
    task<void> pause_server(std::size_t i) {
        ++active_faults;
        servers[i]->pause();
        co_await sleep_for(milliseconds(200 + state->random_refusals() % 3000));
        servers[i]->resume();
        --active_faults;
    }

    /// Pauses servers and restarts them with new ids, now and then. These faults overlap with all others.
    task<void> disturb_servers() {
        while (!stopping) {
            co_await sleep_for(milliseconds((300 + state->random_refusals() % 900) * 3 / host_count));
            const std::size_t i = state->random_refusals() % servers.size();
            const bool pauses = state->random_refusals() % 2 == 0;
            asio::co_spawn(context, pauses ? pause_server(i) : restart_with_new_id(i), asio::detached);
        }
    }

    /// Ends all routers at the same moment, unless one of them has a fault of its own.
    task<void> kill_all_routers() {
        const std::size_t first_router = processes.size() - router_count;
        for (std::size_t kind = first_router; kind < processes.size(); ++kind) {
            if (active_fault_kinds.contains(kind)) {
                co_return;
            }
        }
        ++active_faults;
        for (std::size_t kind = first_router; kind < processes.size(); ++kind) {
            active_fault_kinds.insert(kind);
            processes[kind].running->send_signal(SIGKILL);
        }
        co_await sleep_for(milliseconds(100 + random_versions() % 500));
        for (std::size_t kind = first_router; kind < processes.size(); ++kind) {
            processes[kind].start();
            active_fault_kinds.erase(kind);
        }
        --active_faults;
    }

    /// Ends all routers together now and then, beside all other faults.
    task<void> kill_routers_together() {
        while (!stopping) {
            co_await sleep_for(milliseconds(2500 + random_versions() % 2000));
            if (!stopping) {
                co_await kill_all_routers();
            }
        }
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

    const std::size_t router_count = read_number_from_environment("EELGRASSGW_SOAK_ROUTERS", 2);
    const std::size_t host_count = read_number_from_environment("EELGRASSGW_SOAK_HOSTS", 3);
    std::mt19937 random;
    std::mt19937 random_deadly;   ///< Source of the choices for requests with the deadly part.
    std::mt19937 random_versions; ///< Source of the choices about versions and callers that take streams up.
    std::mt19937 random_eager;    ///< Source of the choices for callers that send without a pause.
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
    std::int64_t last_started_ms = 0;          ///< Start time of the server that was started last.
    int active_faults = 0;                     ///< Number of faults that are in progress.
    std::set<std::size_t> changing_servers;    ///< Servers whose id is about to change.
    std::set<std::size_t> active_fault_kinds;  ///< Kinds of the faults that are in progress.
    bool stopping = false;                     ///< True once callers and faults must stop.
};

} // namespace eelgrassgw
