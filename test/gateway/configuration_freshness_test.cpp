/// Tests what a router may say by its configuration while newer versions are known.

#include "routes/configuration_freshness.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using clock = configuration_freshness::clock;

class configuration_freshness_test : public ::testing::Test {
protected:
    configuration_freshness_test() {
        freshness.set_limit(2000ms);
        freshness.note_in_force(5);
    }
    configuration_freshness freshness;
    clock::time_point start = clock::now();
};

TEST_F(configuration_freshness_test, only_newer_versions_supersede) {
    EXPECT_FALSE(freshness.note_elsewhere(5, start));
    EXPECT_FALSE(freshness.is_superseded());
    EXPECT_TRUE(freshness.note_elsewhere(7, start));
    EXPECT_FALSE(freshness.note_elsewhere(6, start));
    EXPECT_TRUE(freshness.is_superseded());
}

TEST_F(configuration_freshness_test, limit_counts_from_the_first_version_that_is_missing) {
    freshness.note_elsewhere(6, start);
    freshness.note_elsewhere(7, start + 1000ms);
    EXPECT_FALSE(freshness.is_outdated(start + 1400ms));
    EXPECT_TRUE(freshness.is_outdated(start + 1600ms));
    freshness.note_in_force(6);
    EXPECT_TRUE(freshness.is_superseded());
    EXPECT_FALSE(freshness.is_outdated(start + 1600ms));
    EXPECT_TRUE(freshness.is_outdated(start + 2600ms));
}

/// Guards against a router that is behind all the time and never too far, since versions follow each other
/// more quickly than it reads them, and that refuses requests for it.
TEST_F(configuration_freshness_test, pace_of_versions_alone_does_not_make_a_router_outdated) {
    for (std::uint64_t version = 6; version < 1000; ++version) {
        const auto now = start + 10ms * (version - 6);
        freshness.note_elsewhere(version, now);
        if (version > 100) {
            freshness.note_in_force(version - 90); // 900 ms behind
        }
        EXPECT_FALSE(freshness.is_outdated(now)) << version;
    }
}

TEST_F(configuration_freshness_test, version_that_a_later_read_of_the_store_lacks_is_forgotten) {
    freshness.note_elsewhere(9, start);
    freshness.note_store_read(start - 1ms);
    EXPECT_TRUE(freshness.is_superseded());
    freshness.note_store_read(start + 1ms);
    EXPECT_FALSE(freshness.is_superseded());
}

TEST_F(configuration_freshness_test, without_a_limit_no_version_is_outdated) {
    freshness.set_limit(0ms);
    freshness.note_elsewhere(6, start);
    EXPECT_FALSE(freshness.is_outdated(start + 1h));
}

} // namespace
} // namespace eelgrassgw
