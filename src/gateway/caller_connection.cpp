#include "gateway/caller_connection.h"

#include "net/connection_pool.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace eelgrassgw {

namespace {

/// Bytes of one read. They are copied, so that an idle connection holds no memory for them.
constexpr std::size_t read_bytes = 32U << 10U;

} // namespace

caller_connection::caller_connection(tcp::socket socket)
    : socket_(std::move(socket)), input_changed_(socket_.get_executor()),
      room_changed_(socket_.get_executor()) {
    net_error ignored; // A closed socket fails the first read.
    socket_.non_blocking(true, ignored);
}

void caller_connection::start_reading(const asio::any_io_executor& executor) {
    read_arrived(); // The events of later connections may already queue.
    asio::co_spawn(executor, read_until_end(shared_from_this()), asio::detached);
}

void caller_connection::set_read_ahead(std::size_t bytes) {
    read_ahead_bytes_ = bytes;
    room_changed_.notify();
}

task<void> caller_connection::read_until_end(std::shared_ptr<caller_connection> self) {
    while (!self->has_ended()) {
        if (self->is_input_full()) {
            co_await self->wait_for_room();
            continue;
        }
        net_error ec;
        co_await self->socket_.async_wait(tcp::socket::wait_read, with_error(ec));
        if (ec) {
            self->note_end(ec);
        }
        self->read_arrived();
    }
}

/// Waits until unread bytes were consumed. A caller that leaves meanwhile is noticed although its last bytes
/// are not read.
task<void> caller_connection::wait_for_room() {
    co_await room_changed_.wait_until(clock::now() + close_check_interval);
    if (is_input_full() && is_closed_by_peer(socket_)) {
        note_end(asio::error::eof);
    }
}

void caller_connection::read_arrived() {
    if (has_ended()) {
        return;
    }
    if (is_input_full()) {
        if (is_closed_by_peer(socket_)) {
            note_end(asio::error::eof);
        }
        return;
    }
    std::array<char, read_bytes> block; // NOLINT(cppcoreguidelines-pro-type-member-init): read into below
    const std::size_t room = std::min(block.size(), read_ahead_bytes_ - input_.size());
    net_error ec;
    const std::size_t n = socket_.receive(asio::buffer(block.data(), room), 0, ec);
    if (ec == asio::error::would_block) {
        return;
    }
    if (ec) {
        note_end(ec);
        return;
    }
    input_.commit(asio::buffer_copy(input_.prepare(n), asio::buffer(block.data(), n)));
    last_input_at_ = clock::now();
    input_changed_.notify();
}

task<net_error> caller_connection::wait_for_input(std::size_t known_bytes, clock::time_point deadline,
                                                  std::function<bool()> gives_up) {
    room_changed_.notify();
    for (;;) {
        if (input_.size() > known_bytes && last_input_at_ < deadline) {
            co_return net_error();
        }
        if (has_ended()) {
            co_return *end_;
        }
        if (gives_up()) {
            co_return asio::error::operation_aborted;
        }
        if (clock::now() >= deadline) {
            co_return asio::error::timed_out;
        }
        co_await input_changed_.wait_until(deadline);
    }
}

void caller_connection::set_end_handler(std::function<void()> handler) {
    end_handler_ = std::move(handler);
    if (has_ended() && end_handler_) {
        end_handler_();
    }
}

void caller_connection::note_end(net_error ec) {
    end_ = end_.value_or(ec);
    input_changed_.notify();
    if (end_handler_) {
        std::exchange(end_handler_, nullptr)();
    }
}

void caller_connection::stop_write() {
    if (write_in_progress_ == stopped_write_end::reset) {
        reset();
    } else if (write_in_progress_) {
        net_error ignored; // The caller may have closed the connection before.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
}

void caller_connection::reset() {
    net_error ignored; // As above.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void caller_connection::close() {
    net_error ignored; // As above.
    socket_.close(ignored);
    end_ = end_.value_or(asio::error::operation_aborted);
    end_handler_ = nullptr; // Whoever closes the connection knows.
    input_changed_.notify();
    room_changed_.notify();
}

} // namespace eelgrassgw
