#pragma once

/// JSON-RPC 2.0 between the processes of the fleet. This header is valid C++14, because the JSON-RPC library
/// requires that standard.

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace eelgrassgw {

/// Implements one method: receives the parameters and returns the result. Throws `std::exception` to report
/// an error.
using rpc_method = std::function<Json::Value(const Json::Value& params)>;

/// Dispatches JSON-RPC messages to methods. `answer` is thread-safe once all methods have been added.
class rpc_dispatcher {
public:
    rpc_dispatcher();
    ~rpc_dispatcher();
    rpc_dispatcher(const rpc_dispatcher&) = delete;
    rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

    /// Registers `method` under `name`.
    void add(const std::string& name, rpc_method method);

    /// Returns the reply to `message`. Errors are reported in the reply.
    std::string answer(const std::string& message);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// Sends one message to the peer and returns its reply. Throws `std::exception` if no reply arrives.
using rpc_transport = std::function<std::string(const std::string& message)>;

/// Calls the method `name` through `transport`. Throws `std::exception` with the error text. Thread-safe.
Json::Value call_rpc(const rpc_transport& transport, const std::string& name, const Json::Value& params);

} // namespace eelgrassgw
