#include "eelgrassgw/base/failure.h"

#include <gtest/gtest.h>

namespace eelgrassgw {

TEST(failure_test, text_names_step_and_peer) {
    const failure f = make_failure(errc::unreachable, "journal write", "127.0.0.1:1", "connection refused");
    EXPECT_EQ(f.text(), "journal write: connection refused (peer 127.0.0.1:1) [unreachable]");
}

} // namespace eelgrassgw
