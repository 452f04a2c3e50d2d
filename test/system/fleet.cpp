#include "test/system/fleet.h"

#include "eelgrassgw/settings/process_settings.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace eelgrassgw::test {

namespace {

const std::string first_data_centre = "lag-a";
const std::string failpoints_variable = "EELGRASSGW_FAILPOINTS=";

int spawn(const std::vector<std::string>& command, const std::vector<std::string>& environment,
          const std::string& output_file) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command) {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    std::vector<char*> variables;
    for (char** it = environ; *it != nullptr; ++it) {
        variables.push_back(*it);
    }
    for (const std::string& entry : environment) {
        variables.push_back(const_cast<char*>(entry.c_str()));
    }
    variables.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = -1;
    if (posix_spawnp(&pid, arguments[0], &actions, nullptr, arguments.data(), variables.data()) != 0) {
        pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

std::string new_directory() {
    static std::atomic<int> number{0};
    const std::string name =
        std::string(BUILD_DIR) + "/fleets/" + std::to_string(::getpid()) + "-" + std::to_string(++number);
    std::filesystem::create_directories(name);
    return name;
}

std::string local_fleet_script() {
    return std::string(SOURCE_DIR) + "/scripts/local-fleet";
}

} // namespace

command_result run_program(const std::vector<std::string>& command,
                           const std::vector<std::string>& environment) {
    static std::atomic<int> number{0};
    const std::string output_file =
        std::string(BUILD_DIR) + "/output-" + std::to_string(::getpid()) + "-" + std::to_string(++number);
    const int pid = spawn(command, environment, output_file);
    command_result outcome;
    int status = 0;
    if (pid > 0 && ::waitpid(pid, &status, 0) == pid && WIFEXITED(status)) {
        outcome.exit_code = WEXITSTATUS(status);
    }
    const result<std::string> output = read_file(output_file);
    outcome.output = output ? output.value() : "";
    std::filesystem::remove(output_file);
    return outcome;
}

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
    constexpr std::chrono::milliseconds poll_interval{25};
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

void run_concurrently(int count, const std::function<void(int)>& work) {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        threads.emplace_back([&work, i] { work(i); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

fleet::fleet(const std::vector<std::string>& arguments) : directory_(new_directory()) {
    std::vector<std::string> command = {local_fleet_script(), "up", directory_,
                                        "--build=" + std::string(BUILD_DIR)};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const command_result started = run_program(command);
    const result<std::string> text = read_file(path("fleet.json"));
    if (started.exit_code != 0 || !text) {
        std::fprintf(stderr, "local-fleet up failed: %s\n", started.output.c_str());
        return;
    }
    description_ = parse_json(text.value()).value();
    for (const Json::Value& entry : description_["processes"]) {
        process_info info;
        info.role = string_member(entry, "role");
        info.name = string_member(entry, "name");
        info.pid = entry["pid"].asInt();
        info.address = parse_endpoint(string_member(entry, "address")).value();
        info.data_centre = string_member(entry, "data_centre");
        info.log = string_member(entry, "log");
        for (const Json::Value& argument : entry["command"]) {
            info.command.push_back(argument.asString());
        }
        processes_.push_back(std::move(info));
    }
    is_up_ = true;
}

fleet::~fleet() {
    if (is_stopped_) {
        return;
    }
    for (const process_info& entry : processes_) {
        send_signal(entry.name, SIGKILL);
    }
}

int fleet::stop() {
    is_stopped_ = true;
    return run_program({local_fleet_script(), "down", directory_}).exit_code;
}

const process_info& fleet::process(const std::string& name) const {
    for (const process_info& entry : processes_) {
        if (entry.name == name) {
            return entry;
        }
    }
    std::fprintf(stderr, "process \"%s\" does not exist in this fleet\n", name.c_str());
    std::abort();
}

std::vector<process_info> fleet::processes(const std::string& role) const {
    std::vector<process_info> found;
    for (const process_info& entry : processes_) {
        if (entry.role == role) {
            found.push_back(entry);
        }
    }
    return found;
}

endpoint fleet::object_api() const {
    return parse_endpoint(string_member(description_, "object_api")).value();
}

void fleet::send_signal(const std::string& name, int signal) const {
    if (is_running(name)) {
        ::kill(process(name).pid, signal);
    }
}

namespace {

/// Returns the state letter of a file such as /proc/1/stat, or '-' if there is none.
char read_state(const std::filesystem::path& stat_file) {
    std::ifstream in(stat_file);
    std::string text;
    std::getline(in, text);
    const std::size_t end = text.rfind(')');
    return end == std::string::npos || end + 2 >= text.size() ? '-' : text[end + 2];
}

bool are_all_threads_stopped(int pid) {
    const std::filesystem::directory_iterator threads("/proc/" + std::to_string(pid) + "/task");
    return std::all_of(begin(threads), end(threads),
                       [](const auto& thread) { return read_state(thread.path() / "stat") == 'T'; });
}

} // namespace

char fleet::process_state(const std::string& name) const {
    return read_state("/proc/" + std::to_string(process(name).pid) + "/stat");
}

bool fleet::is_running(const std::string& name) const {
    int status = 0;
    ::waitpid(process(name).pid, &status, WNOHANG); // Reaps the process if this test process started it.
    const char state = process_state(name);
    return state != '-' && state != 'Z' && state != 'X';
}

bool fleet::is_frozen(const std::string& name) const {
    return process_state(name) == 'T';
}

bool fleet::pause(const std::string& name) const {
    constexpr std::chrono::seconds timeout{10};
    send_signal(name, SIGSTOP);
    return wait_until([&] { return are_all_threads_stopped(process(name).pid); }, timeout);
}

void fleet::restart(const std::string& name, const std::string& failpoints) {
    for (Json::Value& entry : description_["processes"]) {
        if (string_member(entry, "name") != name) {
            continue;
        }
        for (process_info& info : processes_) {
            if (info.name == name) {
                const std::vector<std::string> environment = {failpoints_variable + failpoints};
                info.pid = spawn(info.command, environment, path(name + ".out"));
                entry["pid"] = info.pid;
            }
        }
    }
    std::ofstream(path("fleet.json")) << to_pretty_text(description_);
}

void fleet::set_proxy_mode(const std::string& name, const std::string& mode,
                           std::chrono::milliseconds delay) const {
    Json::Value proxy_command;
    proxy_command["mode"] = mode;
    proxy_command["delay_ms"] = Json::Int64(delay.count());
    send_proxy_command(name, proxy_command);
}

void fleet::cut_proxy_connections_from(const std::string& name,
                                       const std::vector<std::string>& senders) const {
    Json::Value proxy_command;
    proxy_command["mode"] = "pass";
    for (const std::string& sender : senders) {
        proxy_command["cut_from"].append(sender);
    }
    send_proxy_command(name, proxy_command);
}

void fleet::send_proxy_command(const std::string& name, const Json::Value& proxy_command) const {
    const endpoint control = parse_endpoint(string_member(description_["proxies"][name], "control")).value();
    http_request request;
    request.method = "POST";
    request.path = "/mode";
    request.body = to_text(proxy_command);
    (void)call_http(control, request, http_timeouts{});
}

std::vector<process_info> fleet::daemons() const {
    std::vector<process_info> found = processes("router");
    const std::vector<process_info> agents = processes("agent");
    found.insert(found.end(), agents.begin(), agents.end());
    return found;
}

void fleet::partition_data_centres(const std::string& api_data_centre) const {
    const auto is_first = [](const std::string& data_centre) {
        return data_centre == first_data_centre;
    };
    for (const process_info& one : daemons()) {
        std::vector<std::string> others;
        for (const process_info& other : daemons()) {
            if (is_first(one.data_centre) != is_first(other.data_centre)) {
                others.push_back(other.name);
            }
        }
        cut_proxy_connections_from(one.name, others);
        const bool reaches_api =
            !api_data_centre.empty() && is_first(one.data_centre) == is_first(api_data_centre);
        set_proxy_mode("api-" + one.name, reaches_api ? "pass" : "cut");
    }
}

void fleet::reconnect_data_centres() const {
    for (const process_info& one : daemons()) {
        set_proxy_mode(one.name, "pass");
        set_proxy_mode("api-" + one.name, "pass");
    }
}

endpoint fleet::proxy_address(const std::string& name) const {
    return parse_endpoint(string_member(description_["proxies"][name], "listen")).value();
}

command_result fleet::run_eelgrassctl(const std::vector<std::string>& arguments,
                                      const std::string& failpoints) const {
    return run_eelgrassctl_through(object_api(), arguments, failpoints);
}

command_result fleet::run_eelgrassctl_through(const endpoint& api, std::vector<std::string> arguments,
                                              const std::string& failpoints) const {
    arguments.insert(arguments.begin(), std::string(BUILD_DIR) + "/eelgrassctl");
    arguments.push_back("--object_api=" + api.text());
    arguments.push_back("--fleet_key=" + string_member(description_, "fleet_key"));
    return run_program(arguments, {failpoints_variable + failpoints});
}

double fleet::metric(const std::string& process_name, const std::string& metric_name) const {
    http_request request;
    request.path = "/metrics";
    const result<http_response> reply = call_http(process(process_name).address, request, http_timeouts{});
    if (!reply) {
        return -1;
    }
    std::istringstream lines(reply.value().body);
    std::string line;
    const std::string prefix = "eelgrassgw_" + metric_name + " ";
    while (std::getline(lines, line)) {
        if (line.starts_with(prefix)) {
            return std::strtod(line.c_str() + prefix.size(), nullptr);
        }
    }
    return -1;
}

} // namespace eelgrassgw::test
