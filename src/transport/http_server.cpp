#include "eelgrassgw/transport/http_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <thread>

namespace eelgrassgw {

namespace {

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

http_request to_request(const cxxtools::http::Request& from, std::string peer) {
    http_request request;
    request.method = from.method();
    request.path = percent_decode(from.url());
    request.query = from.qparams();
    for (const auto& field : from.header()) {
        std::string name = lower_case(field.first);
        while (!name.empty() && (name.back() == ':' || name.back() == ' ')) {
            name.pop_back();
        }
        request.headers[name] = field.second;
    }
    request.body = from.bodyStr();
    request.peer = std::move(peer);
    return request;
}

/// Header lines with the request id first, so that a caller has it before anything else can break.
std::string header_lines(const header_fields& headers) {
    std::string lines;
    const auto id = headers.find("x-request-id");
    if (id != headers.end()) {
        lines += "x-request-id: " + id->second + "\r\n";
    }
    for (const auto& field : headers) {
        if (field.first != "x-request-id") {
            lines += field.first + ": " + field.second + "\r\n";
        }
    }
    return lines;
}

class socket_exchange final : public http_exchange {
public:
    socket_exchange(cxxtools::net::TcpSocket& socket, std::ostream& out, cxxtools::http::Reply& reply)
        : socket_(socket), out_(out), reply_(reply) {}

    void send(const http_response& response) override {
        started_ = true;
        reply_.httpReturn(static_cast<unsigned>(response.status), status_phrase(response.status));
        const auto id = response.headers.find("x-request-id");
        if (id != response.headers.end()) {
            reply_.setHeader("x-request-id", id->second.c_str());
        }
        for (const auto& field : response.headers) {
            if (field.first != "x-request-id") {
                reply_.setHeader(field.first.c_str(), field.second.c_str());
            }
        }
        out_ << response.body;
    }

    bool begin_stream(int status, const header_fields& headers) override {
        started_ = true;
        streaming_ = true;
        std::string head = "HTTP/1.1 " + std::to_string(status) + " " + status_phrase(status) + "\r\n";
        head += header_lines(headers);
        head += "transfer-encoding: chunked\r\nconnection: close\r\n\r\n";
        return write_all(head);
    }

    bool write(const std::string& data) override {
        if (data.empty()) {
            return !broken_;
        }
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", data.size());
        return write_all(size + data + "\r\n");
    }

    void end_stream() override {
        if (write_all("0\r\n\r\n")) {
            ended_ = true;
        }
    }

    bool peer_gone() override {
        char byte = 0;
        const ssize_t n = ::recv(socket_.getFd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool says_goodbye = n == 1 && byte == tls_alert; // A TLS caller closes with an alert.
        return broken_ || n == 0 || says_goodbye || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    bool started() const override { return started_; }

    /// Keeps the server's own empty reply off the wire after a streamed one.
    void close_after_stream() {
        if (streaming_) {
            ::shutdown(socket_.getFd(), ended_ ? SHUT_WR : SHUT_RDWR);
        }
    }

private:
    static constexpr char tls_alert = 21; ///< Type of a TLS record; no HTTP request begins with it.

    bool write_all(const std::string& data) {
        if (broken_) {
            return false;
        }
        try {
            std::size_t at = 0;
            while (at < data.size()) {
                at += socket_.write(data.data() + at, data.size() - at);
            }
        } catch (const std::exception&) {
            broken_ = true;
        }
        return !broken_;
    }

    cxxtools::net::TcpSocket& socket_;
    std::ostream& out_;
    cxxtools::http::Reply& reply_;
    bool started_ = false;
    bool streaming_ = false;
    bool ended_ = false;
    bool broken_ = false;
};

class handler_responder final : public cxxtools::http::Responder {
public:
    handler_responder(cxxtools::http::Service& service, const http_handler& handler,
                      std::size_t max_body_bytes)
        : cxxtools::http::Responder(service), handler_(handler), max_body_bytes_(max_body_bytes) {}

    void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                      cxxtools::http::Request& request) override {
        socket_ = &socket;
        too_large_ = request.header().contentLength() > max_body_bytes_;
        cxxtools::http::Responder::beginRequest(socket, in, request);
    }

    std::size_t readBody(std::istream& in) override {
        if (!too_large_) {
            return cxxtools::http::Responder::readBody(in);
        }
        std::array<char, 8192> buf{};
        const auto n = static_cast<std::size_t>(in.rdbuf()->in_avail());
        return static_cast<std::size_t>(
            in.rdbuf()->sgetn(buf.data(), static_cast<std::streamsize>(std::min(n, buf.size()))));
    }

    void reply(std::ostream& out, cxxtools::http::Request& from, cxxtools::http::Reply& reply) override {
        socket_exchange exchange(*socket_, out, reply);
        http_request request = to_request(from, socket_->getPeerAddr());
        request.body_too_large = too_large_;
        try {
            handler_(request, exchange);
        } catch (const std::exception& e) {
            answer_exception(exchange, e);
        }
        exchange.close_after_stream();
    }

private:
    static void answer_exception(socket_exchange& exchange, const std::exception& e) {
        if (exchange.started()) {
            return;
        }
        Json::Value body;
        body["error"]["code"] = "internal_error";
        body["error"]["message"] = e.what();
        exchange.send(json_response(500, body));
    }

    const http_handler& handler_;
    std::size_t max_body_bytes_;
    cxxtools::net::TcpSocket* socket_ = nullptr;
    bool too_large_ = false;
};

class handler_service final : public cxxtools::http::Service {
public:
    handler_service(http_handler handler, std::size_t max_body_bytes)
        : handler_(std::move(handler)), max_body_bytes_(max_body_bytes) {}

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override {
        return new handler_responder(*this, handler_, max_body_bytes_);
    }

    void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

private:
    http_handler handler_;
    std::size_t max_body_bytes_;
};

} // namespace

class http_server::impl {
public:
    impl(const http_server_options& options, http_handler handler)
        : service_(std::move(handler), options.max_body_bytes), server_(loop_) {
        server_.minThreads(4);
        server_.maxThreads(options.max_threads);
        server_.writeTimeout(cxxtools::Milliseconds(options.write_timeout.count()));
        server_.keepAliveTimeout(cxxtools::Milliseconds(30000));
        listen(options);
        server_.addService(cxxtools::Regex(".*"), service_);
        thread_ = std::thread([this] { loop_.run(); });
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    ~impl() {
        loop_.exit();
        thread_.join();
    }

private:
    /// A process that was replaced at once may still hold the address for a moment.
    void listen(const http_server_options& options) {
        const auto limit = std::chrono::steady_clock::now() + address_in_use_limit;
        for (;;) {
            try {
                server_.listen(options.address, options.port, options.certificate_file,
                               options.private_key_file);
                return;
            } catch (const cxxtools::net::AddressInUse&) {
                if (std::chrono::steady_clock::now() > limit) {
                    throw;
                }
                std::this_thread::sleep_for(address_in_use_pause);
            }
        }
    }

    static constexpr std::chrono::milliseconds address_in_use_limit{10000};
    static constexpr std::chrono::milliseconds address_in_use_pause{50};

    cxxtools::EventLoop loop_;
    handler_service service_;
    cxxtools::http::Server server_;
    std::thread thread_;
};

http_server::http_server(const http_server_options& options, http_handler handler)
    : impl_(std::make_unique<impl>(options, std::move(handler))) {}

http_server::~http_server() = default;

} // namespace eelgrassgw
