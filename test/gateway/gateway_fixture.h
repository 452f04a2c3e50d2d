#pragma once

/// Test fixture that runs a gateway on loopback with a fake store and scripted backend servers.

#include "gateway_instance.h"
#include "loopback.h"
#include "platform_store_stand_in.h"
#include "raw_caller.h"
#include "scripted_backend.h"
#include "task_runner.h"

#include <gtest/gtest.h>

#include <fcntl.h>

#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A route of the test configuration, with defaults that suit most tests.
struct test_route {
    std::string prefix;
    std::string kind = "idempotent";
    std::string service = "plain";
    int max_servers = 2;
    int timeout_ms = 3000;
    bool carries_prompt = false;
    bool resumable = false;
};

/// Runs a gateway in the test process, on the same thread as the store and the backend servers.
class gateway_fixture : public ::testing::Test {
protected:
    using gateway_type = gateway<platform::adapter>;

    static constexpr tokens default_prepaid_tokens = 10000;

    gateway_fixture() : store(context, next_loopback_address()), log(open("/dev/null", O_WRONLY), "router") {
        settings.name = "router";
        settings.data_centre = "dc";
        settings.listen = next_loopback_address();
        settings.readiness_listen = next_loopback_address();
        settings.peer_listen = next_loopback_address();
        settings.store = store.address();
        settings.retries.extra_retries = 20;
    }

    /// Writes a configuration with these routes to the store, as an operator would.
    void configure(const std::vector<test_route>& routes, std::uint64_t version = 1,
                   tokens prepaid = default_prepaid_tokens) {
        Json::Value document;
        document["version"] = Json::UInt64(version);
        for (const test_route& each : routes) {
            document["routes"].append(to_document(each));
        }
        Json::Value models;
        models["name"] = "models";
        models["engine"]["stride"] = 6;
        document["services"].append(models);
        Json::Value customer;
        customer["name"] = "acme";
        customer["apiKeys"].append("key-1");
        customer["prepaid"] = Json::Int64(prepaid);
        document["tenants"].append(customer);
        document["limits"]["maxHeaderBytes"] = 4096;
        document["limits"]["maxBodyBytes"] = Json::UInt64(max_body_bytes);
        document["limits"]["headerTimeoutMs"] = 500;
        document["limits"]["idleTimeoutMs"] = 3000;
        store.put("config", "main", document);
    }

    /// Starts a backend server of `service` and adds its entry to the store.
    scripted_backend& add_backend(const std::string& id, const std::string& service,
                                  scripted_backend::script_type script,
                                  script_start start = script_start::after_request,
                                  const std::string& version = "v1") {
        backends.push_back(
            std::make_unique<scripted_backend>(context, next_loopback_address(), std::move(script), start));
        announce(id, service, backends.back()->address(), "ready", 0, version);
        return *backends.back();
    }

    /// Writes the entry of a backend server to the store. `started_ms` is the time of its start, which tells
    /// its incarnations apart; 0 leaves it out.
    void announce(const std::string& id, const std::string& service, const std::string& address,
                  const std::string& state, std::int64_t started_ms = 0, const std::string& version = "v1") {
        Json::Value entry;
        entry["service"] = service;
        entry["address"] = address;
        entry["zone"] = "dc";
        entry["version"] = version;
        entry["slots"] = 8;
        entry["state"] = state;
        entry["sequence"] = 1;
        if (started_ms != 0) {
            entry["born"] = Json::Int64(started_ms);
        }
        store.put("servers", id, entry);
    }

    /// Starts the gateway and runs `body` once the gateway is ready.
    void run(std::function<task<void>()> body) {
        router = std::make_unique<gateway_type>(context, settings, log, metrics);
        const auto started = router->start();
        ASSERT_TRUE(started.ok()) << started.error().text();
        run_task(context, [this, body]() -> task<void> {
            co_await wait_until_ready();
            co_await body();
        });
    }

    /// Waits until the gateway is ready; fails the test after 400 checks with 10 ms between them.
    task<void> wait_until_ready() {
        for (int i = 0; i < 400; ++i) {
            if (co_await readiness_status() == 200) {
                co_return;
            }
            co_await sleep_for(std::chrono::milliseconds(10));
        }
        ADD_FAILURE() << "the gateway did not become ready";
    }

    /// Returns the HTTP status of the readiness check; 0 if it does not answer.
    task<unsigned> readiness_status() {
        raw_caller caller(context);
        co_await caller.connect(settings.readiness_listen);
        co_await caller.send("GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n");
        const auto answer = co_await caller.read_answer();
        co_return answer ? answer->result_int() : 0;
    }

    /// Returns the bytes of a request. `headers` are additional header lines, each with its line end.
    static std::string request(const std::string& method, const std::string& target,
                               const std::string& headers = "", const std::string& body = "") {
        static int n = 0;
        return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-" +
               std::to_string(++n) + "\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n" + headers +
               (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
               body;
    }

    /// Sends one request on a new connection and returns the answer.
    task<std::optional<text_reply>> call(std::string bytes) {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(bytes);
        co_return co_await caller.read_answer();
    }

    /// Returns the tokens that all routers have taken from the customer's budget, according to the store.
    tokens taken_tokens() const { return store.spec("eelgrass-budgets", "all")["taken"]["acme"].asInt64(); }

    asio::io_context context;
    platform_store_stand_in store;
    event_log log;
    metrics_registry metrics;
    gateway_settings settings;
    std::size_t max_body_bytes = 100000; ///< Largest body of a request, in the next configuration.
    std::vector<std::unique_ptr<scripted_backend>> backends;
    std::unique_ptr<gateway_type> router;

private:
    static Json::Value to_document(const test_route& each) {
        Json::Value route;
        route["name"] = "route " + each.prefix;
        route["hostname"] = "a.example";
        route["pathPrefix"] = each.prefix;
        route["kind"] = each.kind;
        route["service"] = each.service;
        route["maxAttempts"] = each.max_servers;
        route["timeoutMs"] = each.timeout_ms;
        route["targetLatencyMs"] = 400;
        route["priority"] = 1;
        route["public"] = false;
        route["sticky"] = each.carries_prompt;
        route["resumable"] = each.resumable;
        return route;
    }
};

/// Returns a script that answers each request with status 200 and `body`.
inline scripted_backend::script_type answering(std::string body) {
    return [body](backend_exchange& e) -> task<void> {
        co_await e.answer(200, body);
    };
}

/// Returns a script that declines each request.
inline scripted_backend::script_type declining() {
    return [](backend_exchange& e) -> task<void> {
        co_await e.decline();
    };
}

/// Returns a script that reads each request and resets the connection without an answer.
inline scripted_backend::script_type resetting() {
    return [](backend_exchange& e) -> task<void> {
        e.break_off(true);
        co_return;
    };
}

} // namespace eelgrassgw
