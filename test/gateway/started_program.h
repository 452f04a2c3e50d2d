#pragma once

/// Runs programs of the project as child processes.

#include "net/task.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <limits>
#include <string>

namespace eelgrassgw {

/// A program that a test has started. The destructor kills the program if it is still running.
class started_program {
public:
    /// Appends the program's output to `log_file`. The environment variable EELGRASSGW_PROGRAMS names a
    /// folder with the programs of another build, which are then started instead.
    started_program(const std::string& name, const std::string& settings_file,
                    const std::string& log_file = "/dev/null") {
        const char* other_build = std::getenv("EELGRASSGW_PROGRAMS");
        const std::string path = std::string(other_build == nullptr ? BUILD_DIR : other_build) + "/" + name;
        pid_ = fork();
        if (pid_ == 0) {
            constexpr mode_t log_file_mode = 0644;
            const int output = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_file_mode);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            // A connection that the test closes must not stay open in the program.
            close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
            setenv("EELGRASSGW_NODE_FILE", settings_file.c_str(), 1);
            execl(path.c_str(), name.c_str(), nullptr);
            _exit(127);
        }
    }
    ~started_program() {
        if (!has_exited()) {
            kill(pid_, SIGKILL);
            waitpid(pid_, &status_, 0);
        }
    }
    started_program(const started_program&) = delete;
    started_program& operator=(const started_program&) = delete;

    /// Returns the program's process id.
    pid_t pid() const { return pid_; }

    /// Sends a signal to the program.
    void send_signal(int number) const { kill(pid_, number); }

    /// Returns whether the program has exited.
    bool has_exited() {
        if (!has_exited_) {
            has_exited_ = waitpid(pid_, &status_, WNOHANG) == pid_;
        }
        return has_exited_;
    }

    /// Waits until the program exits. Returns its exit code, or -1 if it did not exit within `limit`.
    task<int> wait_for_exit_code(std::chrono::milliseconds limit) {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (!has_exited() && std::chrono::steady_clock::now() < deadline) {
            co_await sleep_for(std::chrono::milliseconds(10));
        }
        co_return has_exited() && WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
    }

private:
    pid_t pid_ = -1;
    int status_ = 0;
    bool has_exited_ = false;
};

} // namespace eelgrassgw
