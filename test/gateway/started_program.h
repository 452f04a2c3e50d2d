#pragma once

/// Programs of the project as processes of their own.

#include "net/task.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <string>

namespace eelgrassgw {

/// A program that this test started; killed at the end where it still runs.
class started_program {
public:
    started_program(const std::string& name, const std::string& settings_file) {
        const std::string path = std::string(BUILD_DIR) + "/" + name;
        pid_ = fork();
        if (pid_ == 0) {
            const int sink = open("/dev/null", O_WRONLY);
            dup2(sink, STDOUT_FILENO);
            dup2(sink, STDERR_FILENO);
            setenv("EELGRASSGW_NODE_FILE", settings_file.c_str(), 1);
            execl(path.c_str(), name.c_str(), nullptr);
            _exit(127);
        }
    }
    ~started_program() {
        if (!ended()) {
            kill(pid_, SIGKILL);
            waitpid(pid_, &status_, 0);
        }
    }
    started_program(const started_program&) = delete;
    started_program& operator=(const started_program&) = delete;

    void signal(int number) const { kill(pid_, number); }

    bool ended() {
        if (!ended_) {
            ended_ = waitpid(pid_, &status_, WNOHANG) == pid_;
        }
        return ended_;
    }

    /// The exit code, or -1 where the program did not exit within `limit`.
    task<int> exit_code(std::chrono::milliseconds limit) {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!ended() && std::chrono::steady_clock::now() < until) {
            co_await sleep_for(std::chrono::milliseconds(10));
        }
        co_return ended() && WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
    }

private:
    pid_t pid_ = -1;
    int status_ = 0;
    bool ended_ = false;
};

} // namespace eelgrassgw
