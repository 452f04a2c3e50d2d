/// Failpoints: a fault has to begin exactly where it was put.

#include "eelgrassgw/base/failpoint.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fcntl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace eelgrassgw {
namespace {

/// In a process of its own: one thread sleeps, another one passes the failpoint and then writes to `out`.
[[noreturn]] void pass_failpoint_and_write(int out) {
    arm_failpoints("here=freeze:1");
    std::thread passing([out] {
        failpoint("here");
        (void)!::write(out, "x", 1);
    });
    passing.join();
    ::_exit(0);
}

/// Whether the thread wrote although its process was frozen at the failpoint.
bool wrote_while_frozen() {
    int ends[2] = {-1, -1};
    EXPECT_EQ(::pipe2(ends, O_NONBLOCK), 0);
    const pid_t pid = ::fork();
    if (pid == 0) {
        pass_failpoint_and_write(ends[1]);
    }
    int status = 0;
    EXPECT_EQ(::waitpid(pid, &status, WUNTRACED), pid);
    EXPECT_TRUE(WIFSTOPPED(status));
    char byte = 0;
    const bool wrote = ::read(ends[0], &byte, 1) == 1;
    ::kill(pid, SIGCONT);
    EXPECT_EQ(::waitpid(pid, &status, 0), pid);
    ::close(ends[0]);
    ::close(ends[1]);
    return wrote;
}

TEST(failpoint_test, frozen_thread_does_not_go_on_behind_the_failpoint) {
    constexpr int tries = 200;
    int early = 0;
    for (int i = 0; i < tries; ++i) {
        early += wrote_while_frozen() ? 1 : 0;
    }
    EXPECT_EQ(early, 0) << "of " << tries << " tries";
}

} // namespace
} // namespace eelgrassgw
