#include "net/http_service.h"

#include "intake/counted_write.h"
#include "intake/request_reader.h"
#include "net/address.h"
#include "net/connection_pool.h"
#include "net/read_ahead.h"
#include "net/socket_deadline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace eelgrassgw {

namespace {

// Wait after a failed accept, which happens for instance when no file descriptor is free.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// What the connections of one service share.
struct service_state {
    http_service::handler serve;
    std::shared_ptr<intake_guard> intake;
    place_kind kind = place_kind::control;
};

/// Limits of a service whose process does not count its connections.
struct own_intake {
    metrics_registry metrics;
    intake_guard guard{derive_intake_limits({}), [](const char*, const Json::Value&) {}, metrics};
};

/// The bytes that arrive on a connection. Its deadline and the loss of its place close the socket.
class socket_source {
public:
    socket_source(tcp::socket& socket, boost::beast::flat_buffer& input) : socket_(socket), input_(input) {}

    boost::beast::flat_buffer& input() { return input_; }
    bool is_input_full() const { return input_.size() == input_.max_size(); }
    task<net_error> read_more() {
        net_error ec;
        const std::size_t room = std::min(read_bytes, input_.max_size() - input_.size());
        const std::size_t n = co_await socket_.async_read_some(input_.prepare(room), with_error(ec));
        input_.commit(n);
        co_return ec;
    }

private:
    /// Bytes of one read. Larger reads save little and stay allocated for each connection.
    static constexpr std::size_t read_bytes = 32U << 10U;

    tcp::socket& socket_;
    boost::beast::flat_buffer& input_;
};

/// Reads one whole request. Returns false if the connection ended or lost its place.
task<bool> read_request(tcp::socket& socket, boost::beast::flat_buffer& buffer, body_parser& parser,
                        intake_place& place) {
    parser.body_limit(http_service::max_request_bytes);
    net_error ec;
    const socket_deadline deadline(socket, http_service::idle_timeout);
    socket_source source(socket, buffer);
    if (buffer.size() == 0) {
        constexpr std::size_t first_read_bytes = 4096;
        const std::size_t n =
            co_await socket.async_read_some(buffer.prepare(first_read_bytes), with_error(ec));
        buffer.commit(n);
    }
    if (!ec && !place.is_lost()) {
        place.begin_reading();
        ec = co_await read_head(source, parser);
    }
    if (!ec && !place.is_lost()) {
        ec = co_await read_body(source, parser, place);
    }
    co_return !ec && !place.is_lost();
}

task<void> serve_connection(std::shared_ptr<tcp::socket> shared_socket, std::shared_ptr<service_state> state,
                            std::unique_ptr<intake_place> place) {
    tcp::socket& socket = *shared_socket;
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    set_connection_options(socket, connection_pool::unacknowledged_timeout);
    for (;;) {
        http::request_parser<http::string_body> parser;
        if (!co_await read_request(socket, buffer, parser, *place)) {
            co_return;
        }
        const bool keep_alive_requested = parser.get().keep_alive();
        text_reply reply;
        const bool has_room = place->begin_serving(parser.get().body().size());
        if (has_room) {
            reply = co_await state->serve(parser.release());
        } else {
            reply = make_reply(http::status::service_unavailable, "text/plain", "no room for the request");
            reply.set(http::field::retry_after, "1");
        }
        place->set_body_copies(0); // The handler has released the request.
        reply.keep_alive(keep_alive_requested && has_room);
        reply.prepare_payload();
        const socket_deadline deadline(socket, http_service::idle_timeout);
        const net_error ec = co_await write_counted(socket, reply, *place);
        if (ec || !reply.keep_alive()) {
            co_return;
        }
        place->end_request();
        if (buffer.size() == 0) {
            buffer.shrink_to_fit();
        }
    }
}

task<void> accept_connections(tcp::acceptor acceptor, std::shared_ptr<service_state> state) {
    for (;;) {
        net_error ec;
        tcp::socket accepted = co_await acceptor.async_accept(with_error(ec));
        if (ec) {
            co_await sleep_for(accept_retry_delay);
            continue;
        }
        auto socket = std::make_shared<tcp::socket>(std::move(accepted));
        const auto close = [socket](place_state) {
            net_error ignored;
            socket->close(ignored);
        };
        auto place = state->intake->open(state->kind, close);
        if (place != nullptr) {
            asio::co_spawn(acceptor.get_executor(),
                           serve_connection(std::move(socket), state, std::move(place)), asio::detached);
        }
    }
}

} // namespace

result<done> http_service::start(asio::io_context& context, const std::string& address, handler serve,
                                 intake_guard* intake, place_kind kind) {
    result<tcp::acceptor> acceptor = listen_on(context, address);
    if (!acceptor) {
        return acceptor.error();
    }
    auto state = std::make_shared<service_state>();
    state->serve = std::move(serve);
    if (intake == nullptr) {
        const auto own = std::make_shared<own_intake>();
        state->intake = std::shared_ptr<intake_guard>(own, &own->guard);
        state->kind = place_kind::caller;
    } else {
        // The process owns its guard for as long as the context runs.
        state->intake = std::shared_ptr<intake_guard>(std::shared_ptr<void>(), intake);
        state->kind = kind;
    }
    asio::co_spawn(context, accept_connections(std::move(acceptor.value()), std::move(state)),
                   asio::detached);
    return done{};
}

result<tcp::acceptor> listen_on(asio::io_context& context, const std::string& address) {
    const result<tcp::endpoint> endpoint = parse_address(address);
    if (!endpoint) {
        return endpoint.error();
    }
    tcp::acceptor acceptor(context);
    net_error ec;
    acceptor.open(endpoint.value().protocol(), ec);
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint.value(), ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return make_failure(errc::unreachable, "listen", address, ec.message());
    }
    return acceptor;
}

text_reply make_reply(http::status status, const std::string& content_type, std::string body) {
    text_reply reply(status, 11);
    reply.set(http::field::content_type, content_type);
    reply.body() = std::move(body);
    return reply;
}

} // namespace eelgrassgw
