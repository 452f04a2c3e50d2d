/// Every fault at every step, over real processes. See docs/fault-matrix.md.

#include "eelgrassgw/settings/process_settings.h"
#include "test/system/checker.h"
#include "test/system/fault_cell.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds answer_limit{25};
constexpr std::chrono::seconds rest_limit{30};
constexpr std::chrono::seconds fault_limit{20};
constexpr std::chrono::milliseconds short_cut{500};
constexpr std::chrono::milliseconds longer_than_trusted{3500};

class fault_matrix_test : public testing::TestWithParam<fault_cell> {};

/// Callers with and without keys, streams and whole answers, bookings and lookups, all at once.
void send_traffic(caller& callers) {
    constexpr int chats = 4;
    constexpr int bookings = 2;
    run_at_once(chats + bookings, [&](int i) {
        const std::string number = std::to_string(i);
        if (i < chats) {
            (void)callers.chat_until_final("keyed " + number + " LENGTH=30", "chat-" + number, i % 2 == 0,
                                           answer_limit);
            (void)callers.chat("router-1", "plain " + number + " LENGTH=20", "", i % 2 == 0);
        } else {
            (void)callers.book_until_final("booking-" + number, answer_limit);
            (void)callers.position("router-1");
        }
    });
}

bool failpoint_fired(const fleet& target, const fault_cell& cell) {
    const result<std::string> output = read_file(target.path(cell.process + ".out"));
    return output && output.value().find("failpoint " + cell.failpoint + "=") != std::string::npos;
}

/// Ends every engine's agent, so that their records are lost, and starts them again.
void replace_engine_agents(fleet& target) {
    for (const process_info& agent : target.processes("agent")) {
        if (agent.name.starts_with("engine")) {
            target.send_signal(agent.name, SIGKILL);
            EXPECT_TRUE(wait_until([&] { return !target.is_running(agent.name); }, fault_limit));
            target.restart(agent.name);
        }
    }
}

void set_all_agents(const fleet& target, const std::string& mode) {
    for (const process_info& agent : target.processes("agent")) {
        target.set_proxy(agent.name, mode);
    }
}

std::string other_data_centre(const process_info& process) {
    return process.data_centre == "lag-a" ? "lag-b" : "lag-a";
}

/// The process is held at the place: the fault begins, the process goes on, and later the fault ends.
void bring_outside_fault(const fault_cell& cell, const fleet& target) {
    const std::string api_proxy = "api-" + cell.process;
    switch (cell.kind) {
    case fault_kind::cut:
        set_all_agents(target, "cut");
        target.send_signal(cell.process, SIGCONT);
        std::this_thread::sleep_for(short_cut);
        set_all_agents(target, "pass");
        break;
    case fault_kind::partition:
        target.set_proxy(api_proxy, "cut");
        target.send_signal(cell.process, SIGCONT);
        std::this_thread::sleep_for(longer_than_trusted);
        target.set_proxy(api_proxy, "pass");
        break;
    case fault_kind::apart:
        target.part_data_centres(other_data_centre(target.process(cell.process)));
        target.send_signal(cell.process, SIGCONT);
        std::this_thread::sleep_for(longer_than_trusted);
        target.join_data_centres();
        break;
    default:
        target.send_signal("object-api", SIGSTOP);
        target.send_signal(cell.process, SIGCONT);
        std::this_thread::sleep_for(longer_than_trusted);
        target.send_signal("object-api", SIGCONT);
    }
}

/// Waits for the fault, then brings about what belongs to it.
void follow_fault(const fault_cell& cell, fleet& target) {
    const bool came = wait_until([&] { return failpoint_fired(target, cell); }, fault_limit);
    EXPECT_TRUE(came) << "the failpoint of " << cell.name() << " was never passed";
    if (!came || cell.kind == fault_kind::message) {
        return;
    }
    if (cell.kind == fault_kind::freeze) {
        std::this_thread::sleep_for(longer_than_trusted);
        target.send_signal(cell.process, SIGCONT);
        return;
    }
    if (cell.kind == fault_kind::cut || cell.kind == fault_kind::partition ||
        cell.kind == fault_kind::apart || cell.kind == fault_kind::api_stopped) {
        bring_outside_fault(cell, target);
        return;
    }
    EXPECT_TRUE(wait_until([&] { return !target.is_running(cell.process); }, fault_limit));
    if (cell.kind == fault_kind::kill_restart) {
        target.restart(cell.process);
    }
    if (cell.kind == fault_kind::kill_both) {
        replace_engine_agents(target);
    }
}

/// After the repair every router that runs serves again.
void probe(const fleet& target, caller& callers) {
    for (const process_info& router : target.processes("router")) {
        if (!target.is_running(router.name)) {
            continue;
        }
        observation last;
        const bool served = wait_until(
            [&] {
                last = callers.chat(router.name, "probe of " + router.name, "", false);
                return last.whole;
            },
            answer_limit);
        EXPECT_TRUE(served) << router.name << " does not serve after the repair: " << last.code;
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
    follow_fault(cell, target);
    traffic.join();
    probe(target, callers);
    EXPECT_EQ(wait_for_rest(target, rest_limit), "");
    const bool records_lost = cell.kind == fault_kind::kill_both;
    for (const std::string& violation : checker(target, callers.seen(), records_lost).violations()) {
        ADD_FAILURE() << violation;
    }
    if (cell.stops_cleanly && !testing::Test::HasFailure()) {
        EXPECT_EQ(target.down(), 0) << "a planned stop left something behind";
    }
}

INSTANTIATE_TEST_SUITE_P(matrix, fault_matrix_test, testing::ValuesIn(all_fault_cells()),
                         [](const auto& info) { return info.param.name(); });

} // namespace
} // namespace eelgrassgw::test
