#include "allocation_counter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {
std::atomic<std::uint64_t> calls{0};
} // namespace

void* operator new(std::size_t n) {
    ++calls;
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

std::uint64_t allocations() {
    return calls;
}

void report_allocations(benchmark::State& state, std::uint64_t before) {
    state.counters["allocations"] =
        static_cast<double>(allocations() - before) / static_cast<double>(state.iterations());
}

} // namespace eelgrassgw::bench
