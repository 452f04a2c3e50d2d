#include "eelgrassgw/transport/http_server.h"

#include "eelgrassgw/base/percent_encoding.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <thread>

namespace eelgrassgw {

namespace {

http_request to_request(const cxxtools::http::Request& cxxtools_request, std::string peer) {
    http_request request;
    request.method = cxxtools_request.method();
    request.path = percent_decode(cxxtools_request.url());
    request.query = cxxtools_request.qparams();
    for (const auto& field : cxxtools_request.header()) {
        std::string name = to_lower_case(field.first);
        while (!name.empty() && (name.back() == ':' || name.back() == ' ')) {
            name.pop_back();
        }
        request.headers[name] = field.second;
    }
    request.body = cxxtools_request.bodyStr();
    request.peer = std::move(peer);
    return request;
}

/// Returns the header lines with the request id first, so that a caller knows it even if the connection
/// breaks later.
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
        reply_started_ = true;
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
        reply_started_ = true;
        stream_started_ = true;
        std::string head = "HTTP/1.1 " + std::to_string(status) + " " + status_phrase(status) + "\r\n";
        head += header_lines(headers);
        head += "transfer-encoding: chunked\r\nconnection: close\r\n\r\n";
        return write_all(head);
    }

    bool write(const std::string& data) override {
        if (data.empty()) {
            return !write_failed_;
        }
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", data.size());
        return write_all(size + data + "\r\n");
    }

    void end_stream() override {
        if (write_all("0\r\n\r\n")) {
            stream_ended_ = true;
        }
    }

    bool is_peer_disconnected() override {
        pollfd state{socket_.getFd(), POLLRDHUP, 0};
        const bool is_closed = ::poll(&state, 1, 0) != 0; // Also behind bytes that are still to be read.
        char byte = 0;
        const ssize_t n = ::recv(socket_.getFd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        // A TLS caller sends an alert before it closes the connection.
        const bool received_tls_alert = n == 1 && byte == tls_alert;
        return write_failed_ || is_closed || received_tls_alert;
    }

    bool is_reply_started() const override { return reply_started_; }

    /// Prevents the HTTP library from sending its own empty reply after a streamed reply.
    void close_after_stream() {
        if (stream_started_) {
            ::shutdown(socket_.getFd(), stream_ended_ ? SHUT_WR : SHUT_RDWR);
        }
    }

private:
    static constexpr char tls_alert =
        21; ///< Record type of a TLS alert; no HTTP request begins with this byte.

    bool write_all(const std::string& data) {
        if (write_failed_) {
            return false;
        }
        try {
            std::size_t sent_bytes = 0;
            while (sent_bytes < data.size()) {
                sent_bytes += socket_.write(data.data() + sent_bytes, data.size() - sent_bytes);
            }
        } catch (const std::exception&) {
            write_failed_ = true;
        }
        return !write_failed_;
    }

    cxxtools::net::TcpSocket& socket_;
    std::ostream& out_;
    cxxtools::http::Reply& reply_;
    bool reply_started_ = false;
    bool stream_started_ = false;
    bool stream_ended_ = false;
    bool write_failed_ = false;
};

class handler_responder final : public cxxtools::http::Responder {
public:
    handler_responder(cxxtools::http::Service& service, const http_handler& handler,
                      std::size_t max_body_bytes)
        : cxxtools::http::Responder(service), handler_(handler), max_body_bytes_(max_body_bytes) {}

    void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                      cxxtools::http::Request& request) override {
        socket_ = &socket;
        body_too_large_ = request.header().contentLength() > max_body_bytes_;
        cxxtools::http::Responder::beginRequest(socket, in, request);
    }

    std::size_t readBody(std::istream& in) override {
        if (!body_too_large_) {
            return cxxtools::http::Responder::readBody(in);
        }
        std::array<char, 8192> buf{};
        const auto n = static_cast<std::size_t>(in.rdbuf()->in_avail());
        return static_cast<std::size_t>(
            in.rdbuf()->sgetn(buf.data(), static_cast<std::streamsize>(std::min(n, buf.size()))));
    }

    void reply(std::ostream& out, cxxtools::http::Request& cxxtools_request,
               cxxtools::http::Reply& reply) override {
        socket_exchange exchange(*socket_, out, reply);
        http_request request = to_request(cxxtools_request, socket_->getPeerAddr());
        request.body_too_large = body_too_large_;
        try {
            handler_(request, exchange);
        } catch (const std::exception& e) {
            send_internal_error(exchange, e);
        }
        exchange.close_after_stream();
    }

private:
    static void send_internal_error(socket_exchange& exchange, const std::exception& e) {
        if (exchange.is_reply_started()) {
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
    bool body_too_large_ = false;
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
    /// Binds the address with retries, because after a restart the previous process may briefly still hold
    /// it.
    void listen(const http_server_options& options) {
        const auto deadline = std::chrono::steady_clock::now() + bind_timeout;
        for (;;) {
            try {
                server_.listen(options.address, options.port, options.certificate_file,
                               options.private_key_file);
                return;
            } catch (const cxxtools::net::AddressInUse&) {
                if (std::chrono::steady_clock::now() > deadline) {
                    throw;
                }
                std::this_thread::sleep_for(bind_retry_delay);
            }
        }
    }

    static constexpr std::chrono::milliseconds bind_timeout{10000};
    static constexpr std::chrono::milliseconds bind_retry_delay{50};

    cxxtools::EventLoop loop_;
    handler_service service_;
    cxxtools::http::Server server_;
    std::thread thread_;
};

http_server::http_server(const http_server_options& options, http_handler handler)
    : impl_(std::make_unique<impl>(options, std::move(handler))) {}

http_server::~http_server() = default;

} // namespace eelgrassgw
