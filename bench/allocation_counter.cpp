/// Replaces the global `operator new` and `operator delete` to count allocations.

#include "allocation_counter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {
std::atomic<std::uint64_t> allocation_count{0};
} // namespace

void* operator new(std::size_t n) {
    ++allocation_count;
    void* p = std::malloc(n);
    if (p == nullptr) {
        throw std::bad_alloc();
    }
    return p;
}

void operator delete(void* p) noexcept {
    std::free(p);
}

void operator delete(void* p, std::size_t) noexcept {
    std::free(p);
}

namespace eelgrassgw::bench {

std::uint64_t count_allocations() {
    return allocation_count;
}

void report_allocations(benchmark::State& state, std::uint64_t count_before) {
    state.counters["allocations"] =
        static_cast<double>(count_allocations() - count_before) / static_cast<double>(state.iterations());
}

} // namespace eelgrassgw::bench
