/// Tests the router and the relay of the platform as separate processes.

#include "program_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class programs_test : public program_fixture {
protected:
    void SetUp() override {
        configure({{"/read/"}});
        add_backend("s1", "plain", answering("ok"));
        write_settings(0.2);
    }

    void write_settings(double retry_ratio) const {
        Json::Value document = make_router_document();
        document["retry_ratio"] = retry_ratio;
        std::ofstream(settings_path) << to_text(document);
    }

    const std::filesystem::path settings_path = settings_file("router");
};

TEST_F(programs_test, router_serves_and_stops_gracefully) {
    started_program router_program("eelgrass-platform-router", settings_path);
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        EXPECT_EQ(200U, (co_await call(request("GET", "/read/")))->result_int());
        router_program.send_signal(SIGTERM);
        co_await sleep_for(100ms);
        EXPECT_EQ(503U, co_await readiness_status());
        EXPECT_EQ(0, co_await router_program.wait_for_exit_code(8s));
    });
}

TEST_F(programs_test, router_keeps_serving_after_valid_and_invalid_changes_of_its_settings) {
    started_program router_program("eelgrass-platform-router", settings_path);
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        write_settings(0.3);
        router_program.send_signal(SIGHUP);
        co_await sleep_for(200ms);
        write_settings(-1);
        router_program.send_signal(SIGHUP);
        co_await sleep_for(1500ms); // The router also notices the change without the signal within this time.
        EXPECT_FALSE(router_program.has_exited());
        EXPECT_EQ(200U, (co_await call(request("GET", "/read/")))->result_int());
    });
}

TEST_F(programs_test, router_exits_with_code_2_on_invalid_settings) {
    write_settings(-1);
    started_program router_program("eelgrass-platform-router", settings_path);
    run_task(context, [&]() -> task<void> { EXPECT_EQ(2, co_await router_program.wait_for_exit_code(5s)); });
}

TEST_F(programs_test, error_for_an_invalid_setting_names_file_field_value_and_allowed_values) {
    write_settings(-1);
    const auto loaded = load_gateway_settings(settings_path);
    ASSERT_FALSE(loaded.ok());
    const std::string text = loaded.error().text();
    EXPECT_NE(std::string::npos, text.find(settings_path.string())) << text;
    EXPECT_NE(std::string::npos, text.find("field \"retry_ratio\"")) << text;
    EXPECT_NE(std::string::npos, text.find("-1")) << text;
    EXPECT_NE(std::string::npos, text.find("a number from 0")) << text;
}

TEST_F(programs_test, unknown_setting_is_rejected) {
    std::ofstream(settings_path)
        << R"({"name":"r","data_centre":"d","listen":"127.0.0.1:1","store":"127.0.0.1:2","colour":1})";
    const auto loaded = load_gateway_settings(settings_path);
    ASSERT_FALSE(loaded.ok());
    EXPECT_NE(std::string::npos, loaded.error().text().find("\"colour\""));
}

TEST_F(programs_test, resources_and_places_are_read) {
    std::ofstream(settings_path) << R"({"name":"r","data_centre":"d","listen":"127.0.0.1:1",
        "store":"127.0.0.1:2","resources":{"processor_share":0.2,"memory_mb":120,"max_descriptors":3075,"link_mbps":10},
        "region":"north","data_centres":{"d":"north","e":"south"},"evacuation_limit_ms":5000,"cold_overshoot":1.5,
        "cold_slack":5,"configuration_limit_ms":2000,"event_delay_limit_ms":200})";
    const auto loaded = load_gateway_settings(settings_path);
    ASSERT_TRUE(loaded.ok()) << loaded.error().text();
    EXPECT_EQ(120U, loaded.value().resources.memory_mb);
    EXPECT_DOUBLE_EQ(10, loaded.value().resources.link_mbps);
    EXPECT_EQ("south", loaded.value().places.regions.at("e"));
    EXPECT_EQ(5s, loaded.value().places.evacuation_limit);
    EXPECT_DOUBLE_EQ(1.5, loaded.value().places.cold_overshoot);
}

TEST_F(programs_test, error_for_an_invalid_resource_names_its_field) {
    std::ofstream(settings_path) << R"({"name":"r","data_centre":"d","listen":"127.0.0.1:1",
        "store":"127.0.0.1:2","resources":{"memory_mb":-1}})";
    const auto loaded = load_gateway_settings(settings_path);
    ASSERT_FALSE(loaded.ok());
    EXPECT_NE(std::string::npos, loaded.error().text().find("field \"memory_mb\" in \"resources\""));
}

TEST_F(programs_test, relay_exits_with_code_2_on_invalid_settings) {
    std::ofstream(settings_path) << "not JSON";
    started_program relay_program("eelgrass-platform-relay", settings_path);
    run_task(context, [&]() -> task<void> { EXPECT_EQ(2, co_await relay_program.wait_for_exit_code(5s)); });
}

} // namespace
} // namespace eelgrassgw
