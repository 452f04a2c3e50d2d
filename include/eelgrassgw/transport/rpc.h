#pragma once

/// JSON-RPC 2.0 between the processes of the fleet. This header is valid C++14, which its library needs.

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace eelgrassgw {

/// Answers one method: takes the parameters, returns the result. Throws `std::exception` to report an error.
using rpc_method = std::function<Json::Value(const Json::Value& params)>;

/// Dispatches JSON-RPC messages to methods. `add` everything first; `answer` is then thread-safe.
class rpc_dispatcher {
public:
    rpc_dispatcher();
    ~rpc_dispatcher();
    rpc_dispatcher(const rpc_dispatcher&) = delete;
    rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

    void add(const std::string& name, rpc_method method);

    /// The reply to one message. Errors are replies too.
    std::string answer(const std::string& message);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// Carries one message to the peer and brings its reply. Throws `std::exception` where none came.
using rpc_carrier = std::function<std::string(const std::string& message)>;

/// Calls `name` through `carrier`. Throws `std::exception` with the error's text. Thread-safe.
Json::Value call_rpc(const rpc_carrier& carrier, const std::string& name, const Json::Value& params);

} // namespace eelgrassgw
