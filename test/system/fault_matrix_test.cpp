/// Tests every fault at every step of a request with real processes. docs/fault-matrix.md lists the results.

#include "eelgrassgw/settings/process_settings.h"
#include "test/system/checker.h"
#include "test/system/fault_cell.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds answer_timeout{25};
constexpr std::chrono::seconds idle_timeout{30};
constexpr std::chrono::seconds fault_timeout{20};
constexpr std::chrono::milliseconds short_outage{500};
constexpr std::chrono::milliseconds longer_than_suspicion_timeout{3500};

class fault_matrix_test : public testing::TestWithParam<fault_cell> {};

/// Sends chats with and without keys, streamed and unstreamed, together with bookings and lookups, all
/// concurrently.
void send_traffic(caller& callers) {
    constexpr int chat_count = 4;
    constexpr int booking_count = 2;
    run_concurrently(chat_count + booking_count, [&](int i) {
        const std::string number = std::to_string(i);
        if (i < chat_count) {
            (void)callers.chat_until_final("keyed " + number + " LENGTH=30", "chat-" + number, i % 2 == 0,
                                           answer_timeout);
            (void)callers.chat("router-1", "plain " + number + " LENGTH=20", "", i % 2 == 0);
        } else {
            (void)callers.book_until_final("booking-" + number, answer_timeout);
            (void)callers.get_position("router-1");
        }
    });
}

bool failpoint_fired(const fleet& target, const fault_cell& cell) {
    const result<std::string> output = read_file(target.path(cell.process + ".out"));
    return output && output.value().find("failpoint " + cell.failpoint + "=") != std::string::npos;
}

/// Kills and restarts the agent of every engine, so that the records of the agents are lost.
void restart_engine_agents(fleet& target) {
    for (const process_info& agent : target.processes("agent")) {
        if (agent.name.starts_with("engine")) {
            target.send_signal(agent.name, SIGKILL);
            EXPECT_TRUE(wait_until([&] { return !target.is_running(agent.name); }, fault_timeout));
            target.restart(agent.name);
        }
    }
}

void set_all_agent_proxies(const fleet& target, const std::string& mode) {
    for (const process_info& agent : target.processes("agent")) {
        target.set_proxy_mode(agent.name, mode);
    }
}

std::string other_data_centre(const process_info& process) {
    return process.data_centre == "lag-a" ? "lag-b" : "lag-a";
}

/// Starts the fault while the failpoint keeps the process frozen, resumes the process, and ends the fault
/// later.
void inject_external_fault(const fault_cell& cell, const fleet& target) {
    const std::string api_proxy = "api-" + cell.process;
    switch (cell.kind) {
    case fault_kind::agent_connections_cut:
        set_all_agent_proxies(target, "cut");
        target.send_signal(cell.process, SIGCONT);
        std::this_thread::sleep_for(short_outage);
        set_all_agent_proxies(target, "pass");
        break;
    case fault_kind::api_partition:
        target.set_proxy_mode(api_proxy, "cut");
        target.send_signal(cell.process, SIGCONT);
        std::this_thread::sleep_for(longer_than_suspicion_timeout);
        target.set_proxy_mode(api_proxy, "pass");
        break;
    case fault_kind::data_centre_partition:
        target.partition_data_centres(other_data_centre(target.process(cell.process)));
        target.send_signal(cell.process, SIGCONT);
        std::this_thread::sleep_for(longer_than_suspicion_timeout);
        target.reconnect_data_centres();
        break;
    default:
        target.send_signal("object-api", SIGSTOP);
        target.send_signal(cell.process, SIGCONT);
        std::this_thread::sleep_for(longer_than_suspicion_timeout);
        target.send_signal("object-api", SIGCONT);
    }
}

/// Waits until the failpoint fires, then carries out the rest of the fault.
void carry_out_fault(const fault_cell& cell, fleet& target) {
    const bool fired = wait_until([&] { return failpoint_fired(target, cell); }, fault_timeout);
    EXPECT_TRUE(fired) << "the failpoint of " << cell.name() << " did not fire";
    if (!fired || cell.kind == fault_kind::message_fault) {
        return;
    }
    if (cell.kind == fault_kind::freeze) {
        std::this_thread::sleep_for(longer_than_suspicion_timeout);
        target.send_signal(cell.process, SIGCONT);
        return;
    }
    if (cell.kind == fault_kind::agent_connections_cut || cell.kind == fault_kind::api_partition ||
        cell.kind == fault_kind::data_centre_partition || cell.kind == fault_kind::api_stopped) {
        inject_external_fault(cell, target);
        return;
    }
    EXPECT_TRUE(wait_until([&] { return !target.is_running(cell.process); }, fault_timeout));
    if (cell.kind == fault_kind::kill_restart) {
        target.restart(cell.process);
    }
    if (cell.kind == fault_kind::kill_router_and_agents) {
        restart_engine_agents(target);
    }
}

/// Expects that every running router serves requests again after the fault has ended.
void expect_routers_serve(const fleet& target, caller& callers) {
    for (const process_info& router : target.processes("router")) {
        if (!target.is_running(router.name)) {
            continue;
        }
        observation last;
        const bool served = wait_until(
            [&] {
                last = callers.chat(router.name, "probe of " + router.name, "", false);
                return last.is_complete;
            },
            answer_timeout);
        EXPECT_TRUE(served) << router.name << " does not serve requests after the fault: " << last.code;
    }
}

TEST_P(fault_matrix_test, promises_hold) {
    const fault_cell& cell = GetParam();
    std::vector<std::string> arguments = {"--routers=2", "--engines=2", "--services=2"};
    arguments.insert(arguments.end(), cell.arguments.begin(), cell.arguments.end());
    fleet target(arguments);
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    std::thread traffic([&] { send_traffic(callers); });
    carry_out_fault(cell, target);
    traffic.join();
    expect_routers_serve(target, callers);
    EXPECT_EQ(wait_until_idle(target, idle_timeout), "");
    const bool may_lose_records = cell.kind == fault_kind::kill_router_and_agents;
    for (const std::string& violation :
         checker(target, callers.observations(), may_lose_records).violations()) {
        ADD_FAILURE() << violation;
    }
    if (cell.should_stop_gracefully && !testing::Test::HasFailure()) {
        EXPECT_EQ(target.stop(), 0) << "local-fleet down did not stop the fleet gracefully";
    }
}

INSTANTIATE_TEST_SUITE_P(matrix, fault_matrix_test, testing::ValuesIn(all_fault_cells()),
                         [](const auto& info) { return info.param.name(); });

} // namespace
} // namespace eelgrassgw::test
