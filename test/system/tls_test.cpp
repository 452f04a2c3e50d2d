/// Tests requests that callers send over TLS.

#include "test/system/checker.h"
#include "test/system/tls_caller.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <unistd.h>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds idle_timeout{30};

class tls_test : public testing::Test {
protected:
    void SetUp() override {
        std::filesystem::create_directories(directory);
        files = write_certificate(directory);
        target = std::make_unique<fleet>(std::vector<std::string>{
            "--routers=2", "--engines=1", "--services=1", "--certificate=" + files.certificate,
            "--private_key=" + files.private_key});
        ASSERT_TRUE(target->is_up());
    }

    endpoint tls_address() const {
        for (const Json::Value& entry : target->description()["processes"]) {
            if (string_member(entry, "name") == "router-1") {
                return parse_endpoint(string_member(entry, "tls_address")).value();
            }
        }
        return {};
    }

    std::string post(const std::string& path, const std::string& body) {
        return exchange_over_tls(
            tls_address(), files.certificate,
            "POST " + path + " HTTP/1.1\r\nHost: router\r\nConnection: close\r\n" + "Authorization: Bearer " +
                string_member(target->description(), "customer_key") +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    const std::string directory = std::string(BUILD_DIR) + "/tls-" + std::to_string(::getpid());
    certificate_files files;
    std::unique_ptr<fleet> target;
};

TEST_F(tls_test, streamed_answer_is_whole) {
    const std::string reply =
        post("/v1/chat/completions",
             R"({"model":"lagoon-1","stream":true,"messages":[{"role":"user","content":"LENGTH=20"}]})");
    EXPECT_NE(reply.find("data: [DONE]"), std::string::npos) << reply;
    EXPECT_EQ(wait_until_idle(*target, idle_timeout), "");
    EXPECT_EQ(target->stop(), 0);
}

TEST_F(tls_test, whole_answer_arrives) {
    const std::string reply = post(
        "/v1/chat/completions", R"({"model":"lagoon-1","messages":[{"role":"user","content":"LENGTH=3"}]})");
    EXPECT_NE(reply.find("\"completion_tokens\":3"), std::string::npos) << reply;
}

TEST_F(tls_test, calls_between_processes_are_not_served_there) {
    EXPECT_NE(post("/rpc", "{}").find("unknown_path"), std::string::npos);
}

} // namespace
} // namespace eelgrassgw::test
