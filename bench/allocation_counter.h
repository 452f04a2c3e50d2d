#pragma once

/// Counts the allocations of a benchmark program, which must be linked with allocation_counter.cpp.

#include <benchmark/benchmark.h>

#include <cstdint>

namespace eelgrassgw::bench {

/// Returns the number of calls of `operator new` in this process so far. Thread-safe.
std::uint64_t count_allocations();

/// Reports the mean number of allocations per iteration since `count_allocations()` returned `count_before`.
void report_allocations(benchmark::State& state, std::uint64_t count_before);

} // namespace eelgrassgw::bench
