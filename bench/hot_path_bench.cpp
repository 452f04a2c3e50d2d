/// Measures the time and the allocations of the hot path: admitting and settling a request, routing it,
/// parsing a line of an agent's stream and updating a ledger shard.

#include "allocation_counter.h"
#include "eelgrassgw/ledger/ledger_client.h"
#include "eelgrassgw/router/agent_call.h"
#include "eelgrassgw/router/agent_selector.h"
#include "eelgrassgw/router/caller_request.h"

namespace eelgrassgw::bench {
namespace {

/// Reserves and settles tokens of one budget, in a book of `state.range(0)` budgets.
void admit_and_settle(benchmark::State& state) {
    allowance_book book;
    const auto budgets = static_cast<int>(state.range(0));
    for (int i = 0; i < budgets; ++i) {
        book.add_grant("budget-" + std::to_string(i), 1000000000);
    }
    const std::string budget = "budget-" + std::to_string(budgets / 2);
    const std::uint64_t count_before = count_allocations();
    for (auto _ : state) {
        benchmark::DoNotOptimize(book.reserve(budget, 300, std::chrono::steady_clock::now()));
        book.settle(budget, 300, 100);
        book.remove_folded(budget, 100);
        book.add_grant(budget, 100);
    }
    report_allocations(state, count_before);
}
BENCHMARK(admit_and_settle)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

/// Orders `state.range(0)` agents for a request.
void route(benchmark::State& state) {
    agent_selector selector;
    std::vector<agent_member> agents;
    for (int i = 0; i < state.range(0); ++i) {
        agent_member agent;
        agent.backend_server = "engine-" + std::to_string(i);
        agent.incarnation = agent.backend_server + "-x";
        agents.push_back(agent);
    }
    const std::uint64_t count_before = count_allocations();
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            selector.order_agents(agents, {"request", 17}, false, std::chrono::steady_clock::now()));
    }
    report_allocations(state, count_before);
}
BENCHMARK(route)->Arg(4)->Arg(10)->Arg(40)->Arg(120);

/// Applies one chunk line of an agent's stream.
void parse_agent_line(benchmark::State& state) {
    const std::string line = R"({"offset":9,"text":"055117-1 ","type":"chunk"})";
    const std::uint64_t count_before = count_allocations();
    for (auto _ : state) {
        stream_position position;
        position.accepted = true;
        position.offset = 9;
        std::string text;
        benchmark::DoNotOptimize(apply_agent_line(line, "agent", position, text));
    }
    report_allocations(state, count_before);
}
BENCHMARK(parse_agent_line);

/// Parses a ledger shard of `state.range(0)` budgets, grants an allowance and serialises the shard.
void ledger_shard_update(benchmark::State& state) {
    ledger_shard shard;
    for (int i = 0; i < state.range(0); ++i) {
        (void)shard.top_up("customer", "budget-" + std::to_string(i), "first", 1000000);
    }
    const std::string text = shard.to_text();
    state.counters["bytes"] = static_cast<double>(text.size());
    for (auto _ : state) {
        ledger_shard parsed_shard = ledger_shard::from_text(text).value();
        (void)parsed_shard.grant("router", "budget-0", 100);
        benchmark::DoNotOptimize(parsed_shard.to_text());
    }
}
BENCHMARK(ledger_shard_update)->Arg(50)->Arg(500)->Arg(2500)->Arg(5000);

} // namespace
} // namespace eelgrassgw::bench

BENCHMARK_MAIN();
