/// Measures the time and the allocations of the gateway's work for each request and for each event of a
/// stream, without a network.

#include "allocation_counter.h"
#include "budgets/allowance_table.h"
#include "placing/placement.h"
#include "platform/caller_protocol.h"
#include "routes/fleet_configuration.h"
#include "streams/event_splitter.h"

#include <boost/beast/http/parser.hpp>

#include <string>

namespace eelgrassgw::bench {
namespace {

const std::string request_bytes = "POST /drafts/12/2f HTTP/1.1\r\n"
                                  "Host: desk.example\r\n"
                                  "Attempt-Id: 9c41d07be2a35f68\r\n"
                                  "Model: m\r\n"
                                  "Token-Counts: 11992,384\r\n"
                                  "Prompt-Prefix: 5c1e07a2:4870,91bd3f06:512,e4402b7d:6610\r\n"
                                  "Deadline-Ms: 15000\r\n"
                                  "Authorization: Bearer key-7\r\n"
                                  "Content-Length: 2\r\n\r\n{}";

text_request parse_request() {
    http::request_parser<http::string_body> parser;
    net_error ec;
    parser.put(boost::asio::buffer(request_bytes), ec);
    return parser.release();
}

std::shared_ptr<const fleet_configuration> make_configuration(int route_count) {
    fleet_configuration::builder builder(1);
    for (int i = 0; i < route_count; ++i) {
        route new_route;
        new_route.name = "route-" + std::to_string(i);
        new_route.host = "desk.example";
        new_route.path_prefix = "/drafts/" + std::to_string(i) + "/";
        new_route.services = {{"models", 1}};
        builder.add(new_route);
    }
    for (int i = 0; i < 10; ++i) {
        builder.add(customer{"customer-" + std::to_string(i), {"key-" + std::to_string(i)}, {}, 1000000});
    }
    return builder.build();
}

/// Parses the header and the body of a request.
void parse(benchmark::State& state) {
    const std::uint64_t count_before = count_allocations();
    for (auto _ : state) {
        benchmark::DoNotOptimize(parse_request());
    }
    report_allocations(state, count_before);
}
BENCHMARK(parse);

/// Decodes the terms of a request and finds its customer, and its route among `state.range(0)` routes.
void admit(benchmark::State& state) {
    const auto configuration = make_configuration(static_cast<int>(state.range(0)));
    const platform::caller_protocol protocol;
    const text_request request = parse_request();
    const std::uint64_t count_before = count_allocations();
    for (auto _ : state) {
        const result<request_terms> terms = protocol.decode(request);
        benchmark::DoNotOptimize(configuration->find_route("desk.example", "/drafts/12/2f"));
        benchmark::DoNotOptimize(configuration->find_customer_by_key(*terms.value().api_key));
    }
    report_allocations(state, count_before);
}
BENCHMARK(admit)->Arg(20)->Arg(420);

/// Reserves tokens and settles them, in a table of `state.range(0)` customers.
void reserve_and_settle(benchmark::State& state) {
    allowance_table allowances{allowance_policy{}};
    for (int i = 0; i < state.range(0); ++i) {
        allowances.add("customer-" + std::to_string(i), 1000000000);
    }
    const std::string customer = "customer-" + std::to_string(state.range(0) / 2);
    const std::uint64_t count_before = count_allocations();
    for (auto _ : state) {
        allowances.record_demand(customer, 12376, allowance_table::clock::now());
        benchmark::DoNotOptimize(allowances.reserve(customer, 12376));
        allowances.settle(customer, 12376, 12376);
        allowances.add(customer, 12376);
    }
    report_allocations(state, count_before);
}
BENCHMARK(reserve_and_settle)->Arg(10)->Arg(1000)->Arg(48000);

/// Chooses one of `state.range(0)` backend servers.
void place(benchmark::State& state) {
    std::vector<std::shared_ptr<tracked_backend>> servers;
    for (int i = 0; i < state.range(0); ++i) {
        servers.push_back(std::make_shared<tracked_backend>());
        servers.back()->server.id = "server-" + std::to_string(i);
    }
    placement_request request;
    request.shared_prompt_part = "91bd3f06";
    request.shared_tokens = 5382;
    const auto now = tracked_backend::clock::now();
    const std::uint64_t count_before = count_allocations();
    for (auto _ : state) {
        const placement_outcome chosen = choose_backend_server(servers, request, now);
        benchmark::DoNotOptimize(chosen.server.get());
    }
    report_allocations(state, count_before);
}
BENCHMARK(place)->Arg(9)->Arg(49)->Arg(600);

/// Encodes a caller's request as a request to a backend server.
void send_on(benchmark::State& state) {
    const platform::caller_protocol protocol;
    const text_request request = parse_request();
    const request_terms terms = protocol.decode(request).value();
    const backend_request_metadata metadata{"i-7f3a91c2", std::chrono::milliseconds(14990), "customer-7", 5,
                                            ""};
    const std::uint64_t count_before = count_allocations();
    for (auto _ : state) {
        benchmark::DoNotOptimize(protocol.make_backend_request(request, terms, metadata));
    }
    report_allocations(state, count_before);
}
BENCHMARK(send_on);

/// Splits one event off a stream.
void forward_event(benchmark::State& state) {
    event_splitter events;
    std::int64_t n = 0;
    const std::uint64_t count_before = count_allocations();
    for (auto _ : state) {
        const std::string event = "id: " + std::to_string(++n) + "\ndata: 6 tokens of a draft\n\n";
        benchmark::DoNotOptimize(events.append(event));
    }
    report_allocations(state, count_before);
}
BENCHMARK(forward_event);

} // namespace
} // namespace eelgrassgw::bench

BENCHMARK_MAIN();
