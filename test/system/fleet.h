#pragma once

/// Starts a fleet of real processes with scripts/local-fleet and injects faults into it.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/transport/http_client.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace eelgrassgw::test {

/// Describes one process of the fleet.
struct process_info {
    std::string role;
    std::string name;
    int pid = 0;
    endpoint address;
    std::string data_centre;
    std::string log; ///< Path of the log file.
    std::vector<std::string> command;
};

/// Holds the outcome of a program.
struct command_result {
    int exit_code = -1; ///< Exit code, or -1 if the program did not exit normally.
    std::string output; ///< Text that the program wrote to stdout and stderr.
};

/// Runs a program and waits until it exits. `environment` adds entries such as "NAME=value".
command_result run_program(const std::vector<std::string>& command,
                           const std::vector<std::string>& environment = {});

/// Waits until `condition` returns true. Returns false if `timeout` expires first.
bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

/// Runs `work(0)` to `work(count - 1)` on one thread each and waits until all of them return.
void run_concurrently(int count, const std::function<void(int)>& work);

/// Controls a fleet of processes. The const member functions are thread-safe; the others must be called from
/// one thread.
class fleet {
public:
    /// Starts the processes. `arguments` are passed to `local-fleet up`.
    explicit fleet(const std::vector<std::string>& arguments);

    /// Kills all processes, unless `stop` has stopped them.
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    bool is_up() const { return is_up_; }

    /// Stops all processes gracefully. Returns the exit code of `local-fleet down`.
    int stop();

    const process_info& process(const std::string& name) const;
    std::vector<process_info> processes(const std::string& role) const;
    endpoint object_api() const;
    const Json::Value& description() const { return description_; }
    std::string path(const std::string& file) const { return directory_ + "/" + file; }

    void send_signal(const std::string& name, int signal) const;
    bool is_running(const std::string& name) const;
    bool is_frozen(const std::string& name) const;

    /// Stops a process with SIGSTOP and waits until all of its threads are stopped, since a thread may still
    /// answer a request after the signal was sent. Returns false if that takes too long.
    bool pause(const std::string& name) const;

    /// Restarts a process that has ended. `failpoints` replace the failpoints that it had.
    void restart(const std::string& name, const std::string& failpoints = "");

    /// Sets the mode of the fault proxy `name`. Only the mode "delay_requests" uses `delay`.
    void set_proxy_mode(const std::string& name, const std::string& mode,
                        std::chrono::milliseconds delay = std::chrono::milliseconds(0)) const;

    /// Breaks the connections that the processes named in `senders` open through the fault proxy `name`.
    void cut_proxy_connections_from(const std::string& name, const std::vector<std::string>& senders) const;

    /// Breaks the connections between the data centre "lag-a" and all others. Only the side of
    /// `api_data_centre` reaches the object API; if `api_data_centre` is empty, neither side does.
    void partition_data_centres(const std::string& api_data_centre) const;

    /// Ends the partition that `partition_data_centres` began.
    void reconnect_data_centres() const;

    /// Returns the address of the fault proxy `name`.
    endpoint proxy_address(const std::string& name) const;

    /// Runs eelgrassctl with the object API of this fleet. `failpoints` are set in eelgrassctl.
    command_result run_eelgrassctl(const std::vector<std::string>& arguments,
                                   const std::string& failpoints = "") const;

    /// Runs eelgrassctl with the object API at another address, such as the address of a fault proxy.
    command_result run_eelgrassctl_through(const endpoint& api, std::vector<std::string> arguments,
                                           const std::string& failpoints = "") const;

    /// Returns a metric of one process, or -1 if it cannot be read.
    double metric(const std::string& process_name, const std::string& metric_name) const;

private:
    void send_proxy_command(const std::string& name, const Json::Value& proxy_command) const;
    std::vector<process_info> daemons() const;

    char process_state(const std::string& name) const;

    std::string directory_;
    Json::Value description_;
    std::vector<process_info> processes_;
    bool is_up_ = false;
    bool is_stopped_ = false;
};

} // namespace eelgrassgw::test
