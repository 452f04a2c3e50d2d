#include "eelgrassgw/transport/http_client.h"

#include "eelgrassgw/base/failpoint.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/net/tcpsocket.h>

#include <cstdlib>
#include <istream>
#include <mutex>
#include <thread>
#include <vector>

namespace eelgrassgw {

namespace {

constexpr std::chrono::milliseconds fault_delay{1500};

/// Calls `send` and injects the fault that the failpoint of `request` selects. `T` is the type of the answer.
template <class T, class Send>
result<T> send_with_fault(const endpoint& peer, const http_request& request, Send send) {
    const failpoint_action action =
        request.failpoint_name.empty() ? failpoint_action::none : failpoint(request.failpoint_name.c_str());
    const std::string step = request.method + " " + request.path;
    const auto make_unknown_outcome = [&] {
        return make_failure(errc::outcome_unknown, step, peer.text(), "failpoint");
    };
    switch (action) {
    case failpoint_action::unreachable:
        return make_failure(errc::unreachable, step, peer.text(), "failpoint");
    case failpoint_action::lose_request:
        return make_unknown_outcome();
    case failpoint_action::lose_answer:
        (void)send();
        return make_unknown_outcome();
    case failpoint_action::late:
        std::thread([send] {
            std::this_thread::sleep_for(fault_delay);
            (void)send();
        }).detach();
        return make_unknown_outcome();
    case failpoint_action::twice: {
        result<T> first = send();
        (void)send();
        return first;
    }
    case failpoint_action::slow:
        std::this_thread::sleep_for(fault_delay);
        return send();
    default:
        return send();
    }
}

/// Hits the failpoint "<name>_answered" after the answer has arrived.
void hit_answered_failpoint(const http_request& request) {
    if (!request.failpoint_name.empty()) {
        failpoint((request.failpoint_name + "_answered").c_str());
    }
}

std::string& sender_name() {
    static std::string name;
    return name;
}

cxxtools::http::Request to_cxxtools_request(const http_request& request) {
    // The query is part of the URL because the library ignores qparams().
    const std::string query = request.query.empty() ? "" : "?" + request.query;
    cxxtools::http::Request cxxtools_request(percent_encode(request.path) + query);
    cxxtools_request.method(request.method);
    for (const auto& field : request.headers) {
        cxxtools_request.setHeader(field.first.c_str(), field.second.c_str());
    }
    if (!sender_name().empty()) {
        cxxtools_request.setHeader("x-eelgrass-sender", sender_name().c_str());
    }
    cxxtools_request.body() << request.body;
    return cxxtools_request;
}

cxxtools::Milliseconds to_cxxtools_milliseconds(std::chrono::milliseconds duration) {
    return cxxtools::Milliseconds(static_cast<double>(duration.count()));
}

failure outcome_unknown_failure(const endpoint& peer, const http_request& request, const std::string& cause) {
    return make_failure(errc::outcome_unknown, request.method + " " + request.path, peer.text(), cause);
}

failure unreachable_failure(const endpoint& peer, const http_request& request, const std::string& cause) {
    return make_failure(errc::unreachable, "connect for " + request.method + " " + request.path, peer.text(),
                        cause);
}

/// Checks over a separate connection that `peer` accepts connections within `timeout`. The library's client
/// has no timeout for connecting, and a request sent over an existing connection would be sent again if the
/// peer closed that connection before it replied.
result<done> check_reachable(const endpoint& peer, const http_request& request,
                             std::chrono::milliseconds timeout) {
    try {
        cxxtools::net::TcpSocket probe;
        probe.setTimeout(to_cxxtools_milliseconds(timeout));
        probe.connect(peer.address, peer.port);
        return done{};
    } catch (const std::exception& e) {
        return unreachable_failure(peer, request, e.what());
    }
}

std::string header_value(const cxxtools::http::Client& client, const std::string& name) {
    const char* value = client.header().getHeader(name.c_str());
    return value == nullptr ? std::string() : std::string(value);
}

http_response read_response(cxxtools::http::Client& client) {
    http_response response;
    response.body = client.readBody().body();
    response.status = static_cast<int>(client.header().httpReturnCode());
    for (const auto& field : client.header()) {
        std::string name = field.first;
        for (char& c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        if (!name.empty() && name.back() == ':') {
            name.pop_back();
        }
        response.headers[name] = field.second;
    }
    return response;
}

bool is_body_truncated(const http_response& response) {
    const std::string length = response.header("content-length");
    return !length.empty() && response.body.size() < std::strtoull(length.c_str(), nullptr, 10);
}

class client_stream final : public http_stream {
public:
    client_stream(const endpoint& peer) : client_(peer.address, peer.port) {}

    cxxtools::http::Client& client() { return client_; }

    int status() const override { return static_cast<int>(client_.header().httpReturnCode()); }

    std::string header(const std::string& name) const override { return header_value(client_, name); }

    bool read_line(std::string& line) override {
        try {
            return static_cast<bool>(std::getline(client_.in(), line)) && !client_.in().eof();
        } catch (const std::exception&) {
            return false;
        }
    }

    std::string read_rest() override {
        try {
            return client_.readBody().body();
        } catch (const std::exception&) {
            return {};
        }
    }

private:
    cxxtools::http::Client client_;
};

} // namespace

void set_sender_name(const std::string& name) {
    sender_name() = name;
}

std::string endpoint::text() const {
    return address + ":" + std::to_string(port);
}

result<endpoint> parse_endpoint(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    const long port = colon == std::string::npos ? 0 : std::strtol(text.c_str() + colon + 1, nullptr, 10);
    if (port < 1 || port > 65535 || colon == 0) {
        return make_failure(errc::malformed, "read address", "",
                            "\"" + text + "\" is not of the form <IP number>:<port 1 to 65535>");
    }
    return endpoint{text.substr(0, colon), static_cast<unsigned short>(port)};
}

namespace {

result<std::unique_ptr<http_stream>> open_stream_once(const endpoint& peer, const http_request& request,
                                                      const http_timeouts& timeouts) {
    auto stream = std::make_unique<client_stream>(peer);
    const result<done> connected = check_reachable(peer, request, timeouts.connect);
    if (!connected) {
        return connected.error();
    }
    try {
        stream->client().execute(to_cxxtools_request(request), to_cxxtools_milliseconds(timeouts.read),
                                 to_cxxtools_milliseconds(timeouts.connect));
    } catch (const std::exception& e) {
        return outcome_unknown_failure(peer, request, e.what());
    }
    return std::unique_ptr<http_stream>(std::move(stream));
}

result<http_response> call_once(const endpoint& peer, const http_request& request,
                                const http_timeouts& timeouts) {
    cxxtools::http::Client client(peer.address, peer.port);
    const result<done> connected = check_reachable(peer, request, timeouts.connect);
    if (!connected) {
        return connected.error();
    }
    try {
        client.execute(to_cxxtools_request(request), to_cxxtools_milliseconds(timeouts.read),
                       to_cxxtools_milliseconds(timeouts.connect));
        http_response response = read_response(client);
        if (is_body_truncated(response)) {
            return outcome_unknown_failure(peer, request, "the reply's body was cut off");
        }
        return response;
    } catch (const std::exception& e) {
        return outcome_unknown_failure(peer, request, e.what());
    }
}

} // namespace

result<std::unique_ptr<http_stream>> open_http_stream(const endpoint& peer, const http_request& request,
                                                      const http_timeouts& timeouts) {
    return send_with_fault<std::unique_ptr<http_stream>>(
        peer, request, [=] { return open_stream_once(peer, request, timeouts); });
}

result<http_response> call_http(const endpoint& peer, const http_request& request,
                                const http_timeouts& timeouts) {
    result<http_response> response =
        send_with_fault<http_response>(peer, request, [=] { return call_once(peer, request, timeouts); });
    hit_answered_failpoint(request);
    return response;
}

class http_connection_pool::impl {
public:
    explicit impl(endpoint peer) : peer_(std::move(peer)) {}

    const endpoint& peer() const { return peer_; }

    result<http_response> call(const http_request& request, const http_timeouts& timeouts) {
        std::unique_ptr<cxxtools::http::Client> client = take_idle_client();
        if (client == nullptr) {
            const result<done> connected = check_reachable(peer_, request, timeouts.connect);
            if (!connected) {
                return connected.error();
            }
            client = std::make_unique<cxxtools::http::Client>(peer_.address, peer_.port);
        }
        try {
            client->execute(to_cxxtools_request(request), to_cxxtools_milliseconds(timeouts.read),
                            to_cxxtools_milliseconds(timeouts.connect));
            http_response response = read_response(*client);
            if (is_body_truncated(response)) {
                return outcome_unknown_failure(peer_, request, "the reply's body was cut off");
            }
            return_client(std::move(client));
            return response;
        } catch (const std::exception& e) {
            return outcome_unknown_failure(peer_, request, e.what());
        }
    }

private:
    static constexpr std::size_t max_idle_connections = 16;

    std::unique_ptr<cxxtools::http::Client> take_idle_client() {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (idle_clients_.empty()) {
            return nullptr;
        }
        auto client = std::move(idle_clients_.back());
        idle_clients_.pop_back();
        return client;
    }

    void return_client(std::unique_ptr<cxxtools::http::Client> client) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (idle_clients_.size() < max_idle_connections) {
            idle_clients_.push_back(std::move(client));
        }
    }

    endpoint peer_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<cxxtools::http::Client>> idle_clients_;
};

http_connection_pool::http_connection_pool(endpoint peer) : impl_(std::make_unique<impl>(std::move(peer))) {}

http_connection_pool::~http_connection_pool() = default;

result<http_response> http_connection_pool::call(const http_request& request, const http_timeouts& timeouts) {
    result<http_response> response =
        send_with_fault<http_response>(peer(), request, [=] { return impl_->call(request, timeouts); });
    hit_answered_failpoint(request);
    return response;
}

const endpoint& http_connection_pool::peer() const {
    return impl_->peer();
}

} // namespace eelgrassgw
