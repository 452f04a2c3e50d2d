#pragma once

/// Counts the allocations of a bench program; link allocation_counter.cpp.

#include <benchmark/benchmark.h>

#include <cstdint>

namespace eelgrassgw::bench {

/// Calls of `operator new` in this process so far. Thread-safe.
std::uint64_t allocations();

/// Reports the mean number of allocations of an iteration since `before`.
void report_allocations(benchmark::State& state, std::uint64_t before);

} // namespace eelgrassgw::bench
