#pragma once

/// A fleet of real processes, started by scripts/local-fleet, and the faults that tests bring upon it.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/transport/http_client.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace eelgrassgw::test {

struct process_info {
    std::string role;
    std::string name;
    int pid = 0;
    endpoint address;
    std::string data_centre;
    std::string log;
    std::vector<std::string> command;
};

struct command_result {
    int exit_code = -1;
    std::string output;
};

/// Runs a program to its end. `environment` adds entries such as "NAME=value".
command_result run_program(const std::vector<std::string>& command,
                           const std::vector<std::string>& environment = {});

/// Waits until `holds`. Returns false after `longest`.
bool wait_until(const std::function<bool()>& holds, std::chrono::milliseconds longest);

/// Runs `work(0)` to `work(count - 1)`, each on a thread of its own, and waits for all.
void run_at_once(int count, const std::function<void(int)>& work);

/// Used by one thread, except for the const members.
class fleet {
public:
    /// Starts; `arguments` go to `local-fleet up`.
    explicit fleet(const std::vector<std::string>& arguments);

    /// Ends all processes at once, unless `down` did.
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    bool is_up() const { return up_; }

    /// Stops gracefully. The result is the exit code of `local-fleet down`.
    int down();

    const process_info& process(const std::string& name) const;
    std::vector<process_info> processes(const std::string& role) const;
    endpoint object_api() const;
    const Json::Value& description() const { return description_; }
    std::string path(const std::string& file) const { return directory_ + "/" + file; }

    void send_signal(const std::string& name, int signal) const;
    bool is_running(const std::string& name) const;
    bool is_frozen(const std::string& name) const;

    /// Starts a process that has ended again, without its failpoints.
    void restart(const std::string& name);

    /// Sets the mode of the fault proxy `name`.
    /// `delay` is for the mode "delay_requests".
    void set_proxy(const std::string& name, const std::string& mode,
                   std::chrono::milliseconds delay = std::chrono::milliseconds(0)) const;

    /// Breaks the connections that the processes named in `senders` open through the proxy.
    void cut_proxy_from(const std::string& name, const std::vector<std::string>& senders) const;

    /// Parts the data centre "lag-a" from all others. `api_with` is the data centre that keeps the object
    /// API: only its side reaches it; nobody does where it is empty.
    void part_data_centres(const std::string& api_with) const;
    void join_data_centres() const;

    /// Address of the fault proxy `name`.
    endpoint proxy_address(const std::string& name) const;

    /// Runs eelgrassctl against this fleet's object API.
    command_result control(const std::vector<std::string>& arguments,
                           const std::string& failpoints = "") const;

    /// The same through another address, such as that of a proxy.
    command_result control_through(const endpoint& api, std::vector<std::string> arguments,
                                   const std::string& failpoints = "") const;

    /// A metric of one process, or -1 where it cannot be read.
    double metric(const std::string& process_name, const std::string& metric_name) const;

private:
    void control_proxy(const std::string& name, const Json::Value& orders) const;
    std::vector<process_info> daemons() const;

    char state_of(const std::string& name) const;

    std::string directory_;
    Json::Value description_;
    std::vector<process_info> processes_;
    bool up_ = false;
    bool stopped_ = false;
};

} // namespace eelgrassgw::test
