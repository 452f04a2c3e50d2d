#pragma once

/// Test fixture that runs a gateway whose event loop is kept busy with callers' work, and reads its log.

#include "gateway_fixture.h"
#include "overload/deferred_queue.h"

#include <boost/asio/post.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace eelgrassgw {

class busy_router_fixture : public gateway_fixture {
protected:
    busy_router_fixture()
        : log_file("busy_router_fixture." + std::to_string(getpid()) + ".log"),
          file_log(open(log_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600), "router") {}
    void TearDown() override { std::filesystem::remove(log_file); }

    /// Keeps callers' work of 1 ms each in the queue of the event loop, for `backlog` at any time.
    void keep_callers_busy(std::chrono::milliseconds backlog) {
        busy = true;
        for (int i = 0; i < backlog.count(); ++i) {
            asio::post(callers, [this] { work(); });
        }
    }
    void work() {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1);
        while (std::chrono::steady_clock::now() < end) {
        }
        if (busy) {
            asio::post(callers, [this] { work(); });
        }
    }
    /// Starts the router with a log that `logged` returns.
    void start_router() {
        router = std::make_unique<gateway_type>(context, settings, file_log, metrics);
        ASSERT_TRUE(router->start().ok());
    }
    /// Returns whether the version or a newer one is in force.
    bool is_in_force(std::uint64_t version) const { return newest_in_force() >= version; }
    std::uint64_t newest_in_force() const {
        std::uint64_t newest = 0;
        std::istringstream lines(logged());
        for (std::string line; std::getline(lines, line);) {
            const auto parsed = parse_json(line);
            if (parsed && parsed.value()["event"] == "configuration_in_force") {
                newest = std::max<std::uint64_t>(newest, parsed.value()["version"].asUInt64());
            }
        }
        return newest;
    }
    std::string logged() const {
        std::ifstream file(log_file);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    deferred_executor callers{context};
    bool busy = false;
    std::string log_file;
    event_log file_log;
};

} // namespace eelgrassgw
