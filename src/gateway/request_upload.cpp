#include "gateway/request_upload.h"

#include "net/notification.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrassgw {

/// What the upload shares with the task that writes the rest of the request.
struct request_upload::state {
    state(tcp::socket& socket, text_request outgoing, std::function<void()> end_handler)
        : upstream(socket), request(std::move(outgoing)), serializer(request), on_end(std::move(end_handler)),
          end(socket.get_executor()) {}

    void finish(net_error ec) {
        error = ec;
        ended = true;
        std::string().swap(request.body()); // The answer may take long, and another attempt copies it again.
        on_end();
        end.notify();
    }

    tcp::socket& upstream;
    text_request request;
    http::request_serializer<http::string_body> serializer;
    std::function<void()> on_end;
    notification end; ///< Wakes the task that waits for the end.
    net_error error;
    bool ended = false;
};

request_upload::request_upload(tcp::socket& upstream, text_request request, std::function<void()> on_end)
    : state_(std::make_shared<state>(upstream, std::move(request), std::move(on_end))) {}

void request_upload::start() {
    net_error ec;
    state_->upstream.non_blocking(true, ec);
    if (!ec) {
        http::write(state_->upstream, state_->serializer, ec);
    }
    if (ec == asio::error::would_block) {
        asio::co_spawn(state_->upstream.get_executor(), write_rest(state_), asio::detached);
    } else {
        state_->finish(ec);
    }
}

task<void> request_upload::write_rest(std::shared_ptr<state> upload) {
    net_error ec;
    co_await http::async_write(upload->upstream, upload->serializer, with_error(ec));
    upload->finish(ec);
}

bool request_upload::in_progress() const {
    return !state_->ended;
}

net_error request_upload::error() const {
    return state_->error;
}

bool request_upload::was_cut() const {
    // A broken pipe, too: the end in order then came before the reset, as it happens if the server closes
    // while nothing that arrived is unread.
    return bool(state_->error);
}

task<void> request_upload::wait_for_end(std::chrono::milliseconds limit) {
    if (in_progress()) {
        (void)co_await state_->end.wait_until(notification::clock::now() + limit);
    }
}

task<void> request_upload::stop() {
    if (!in_progress()) {
        co_return;
    }
    net_error ignored; // The connection may be closed already.
    state_->upstream.set_option(asio::socket_base::linger(true, 0), ignored);
    state_->upstream.close(ignored);
    while (in_progress()) { // The next step of the write fails.
        co_await state_->end.wait();
    }
}

} // namespace eelgrassgw
