/// Tests the metrics that a router serves.

#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

class metrics_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/read/"}});
        add_backend("s1", "plain", answering("ok"));
        settings.metrics_listen = next_loopback_address();
    }

    task<std::string> served_metrics() {
        raw_caller caller(context);
        co_await caller.connect(settings.metrics_listen);
        co_await caller.send("GET /metrics HTTP/1.1\r\nHost: r\r\n\r\n");
        const auto answer = co_await caller.read_answer();
        co_return answer ? answer->body() : "";
    }
};

TEST_F(metrics_test, requests_are_counted_by_outcome_and_timed) {
    run([&]() -> task<void> {
        co_await call(request("GET", "/read/"));
        co_await call(request("GET", "/nowhere/"));
        const std::string text = co_await served_metrics();
        EXPECT_NE(std::string::npos, text.find("eelgrassgw_requests_total{outcome=\"answered\"} 1")) << text;
        EXPECT_NE(std::string::npos, text.find("eelgrassgw_requests_total{outcome=\"no_route\"} 1")) << text;
        EXPECT_NE(std::string::npos, text.find("eelgrassgw_request_seconds_bucket{outcome=\"answered\""))
            << text;
    });
}

} // namespace
} // namespace eelgrassgw
