/// Tests that an injected fault takes effect exactly at its failpoint.

#include "eelgrassgw/base/failpoint.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fcntl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace eelgrassgw {
namespace {

/// Runs in a child process: the main thread waits while a second thread hits the failpoint and then writes to
/// `output_fd`.
[[noreturn]] void hit_failpoint_and_write(int output_fd) {
    arm_failpoints("here=freeze:1");
    std::thread writer([output_fd] {
        failpoint("here");
        (void)!::write(output_fd, "x", 1);
    });
    writer.join();
    ::_exit(0);
}

/// Returns whether the thread wrote although the failpoint had frozen its process.
bool wrote_while_frozen() {
    int pipe_ends[2] = {-1, -1};
    EXPECT_EQ(::pipe2(pipe_ends, O_NONBLOCK), 0);
    const pid_t pid = ::fork();
    if (pid == 0) {
        hit_failpoint_and_write(pipe_ends[1]);
    }
    int status = 0;
    EXPECT_EQ(::waitpid(pid, &status, WUNTRACED), pid);
    EXPECT_TRUE(WIFSTOPPED(status));
    char byte = 0;
    const bool wrote = ::read(pipe_ends[0], &byte, 1) == 1;
    ::kill(pid, SIGCONT);
    EXPECT_EQ(::waitpid(pid, &status, 0), pid);
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
    return wrote;
}

TEST(failpoint_test, frozen_thread_does_not_continue_past_the_failpoint) {
    constexpr int tries = 200;
    int early_writes = 0;
    for (int i = 0; i < tries; ++i) {
        early_writes += wrote_while_frozen() ? 1 : 0;
    }
    EXPECT_EQ(early_writes, 0) << "frozen threads that wrote, in " << tries << " tries";
}

} // namespace
} // namespace eelgrassgw
