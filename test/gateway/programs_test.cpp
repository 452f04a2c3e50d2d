/// The platform's two programs as processes of their own.

#include "gateway_fixture.h"
#include "started_program.h"

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class programs_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/read/"}});
        add_backend("s1", "plain", always("ok"));
        file = std::filesystem::temp_directory_path() /
               ("eelgrass-settings-" + std::to_string(getpid()) + ".json");
        write_settings(0.2);
    }
    void TearDown() override { std::filesystem::remove(file); }

    void write_settings(double retry_ratio) const {
        Json::Value document;
        document["name"] = "router";
        document["data_centre"] = "dc";
        document["listen"] = settings.listen;
        document["readiness_listen"] = settings.readiness_listen;
        document["store"] = store.address();
        document["stop_limit_s"] = 8;
        document["retry_ratio"] = retry_ratio;
        std::ofstream(file) << to_text(document);
    }

    std::filesystem::path file;
};

TEST_F(programs_test, router_serves_and_stops_as_planned) {
    started_program router_process("eelgrass-platform-router", file);
    run_task(context, [&]() -> task<void> {
        co_await until_ready();
        EXPECT_EQ(200U, (co_await call(request("GET", "/read/")))->result_int());
        router_process.signal(SIGTERM);
        co_await sleep_for(100ms);
        EXPECT_EQ(503U, co_await readiness());
        EXPECT_EQ(0, co_await router_process.exit_code(8s));
    });
}

TEST_F(programs_test, router_serves_on_after_good_and_bad_changes_of_its_settings) {
    started_program router_process("eelgrass-platform-router", file);
    run_task(context, [&]() -> task<void> {
        co_await until_ready();
        write_settings(0.3);
        router_process.signal(SIGHUP);
        co_await sleep_for(200ms);
        write_settings(-1);
        router_process.signal(SIGHUP);
        co_await sleep_for(1500ms); // Long enough for the change to be seen without the signal, too.
        EXPECT_FALSE(router_process.ended());
        EXPECT_EQ(200U, (co_await call(request("GET", "/read/")))->result_int());
    });
}

TEST_F(programs_test, bad_settings_end_the_start_with_code_2) {
    write_settings(-1);
    started_program router_process("eelgrass-platform-router", file);
    run_task(context, [&]() -> task<void> { EXPECT_EQ(2, co_await router_process.exit_code(5s)); });
}

TEST_F(programs_test, bad_settings_name_file_field_value_and_what_is_allowed) {
    write_settings(-1);
    const auto loaded = load_gateway_settings(file);
    ASSERT_FALSE(loaded.ok());
    const std::string text = loaded.error().text();
    EXPECT_NE(std::string::npos, text.find(file.string())) << text;
    EXPECT_NE(std::string::npos, text.find("field \"retry_ratio\"")) << text;
    EXPECT_NE(std::string::npos, text.find("-1")) << text;
    EXPECT_NE(std::string::npos, text.find("a number from 0")) << text;
}

TEST_F(programs_test, unknown_setting_is_refused) {
    std::ofstream(file)
        << R"({"name":"r","data_centre":"d","listen":"127.0.0.1:1","store":"127.0.0.1:2","colour":1})";
    const auto loaded = load_gateway_settings(file);
    ASSERT_FALSE(loaded.ok());
    EXPECT_NE(std::string::npos, loaded.error().text().find("\"colour\""));
}

TEST_F(programs_test, relay_exits_with_code_2_on_bad_settings) {
    std::ofstream(file) << "not JSON";
    started_program relay_process("eelgrass-platform-relay", file);
    run_task(context, [&]() -> task<void> { EXPECT_EQ(2, co_await relay_process.exit_code(5s)); });
}

} // namespace
} // namespace eelgrassgw
