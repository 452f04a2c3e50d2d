#pragma once

/// The connection of one caller.

#include "net/notification.h"
#include "net/task.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace eelgrassgw {

/// Owns the socket of one caller. One task reads what the caller sends, from the begin of the connection to
/// its end: no read begins or ends with a request, so whoever serves the requests has none to stop. All waits
/// look at the state of the connection before they wait, and again after each wake-up. Not thread-safe.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    using clock = std::chrono::steady_clock;

    /// Number of unread bytes from which nothing more is read, unless `set_read_ahead` changes it.
    static constexpr std::size_t default_read_ahead_bytes = 64U << 10U;
    /// Time between two looks whether a caller has left whose unread bytes have reached that number.
    static constexpr std::chrono::milliseconds close_check_interval{100};

    explicit caller_connection(tcp::socket socket);

    /// Reads what has arrived, and starts the task that reads on, on `executor`. It shares the ownership of
    /// this object and ends soon after `close`. Must be called once.
    void start_reading(const asio::any_io_executor& executor);

    /// Sets the number of unread bytes from which nothing more is read for now.
    void set_read_ahead(std::size_t bytes);

    /// Returns the bytes that were read and not consumed. Whoever parses them consumes them.
    boost::beast::flat_buffer& input() { return input_; }

    /// Returns whether so many bytes are unread that nothing more is read.
    bool is_input_full() const { return input_.size() >= read_ahead_bytes_; }

    /// Waits until there are more than `known_bytes` unread bytes, the last of which came before `deadline`.
    /// Returns the error with which the connection ended if no more will come, operation_aborted once
    /// `gives_up` returns true, and timed_out after `deadline`. `gives_up` is called at the begin and after
    /// `wake`. Precondition: no other task waits.
    task<net_error> wait_for_input(std::size_t known_bytes, clock::time_point deadline,
                                   std::function<bool()> gives_up);

    /// Has the task that waits for input look again whether to give up.
    void wake() { input_changed_.notify(); }

    /// Reads what has arrived, and notes whether the caller has closed the connection.
    void read_arrived();

    /// Returns whether the caller has closed the connection, in any way. Unread bytes may be left.
    bool has_ended() const { return end_.has_value(); }

    /// Sets the function that is called once the caller has closed the connection; at once if that has
    /// happened. A null function ends that.
    void set_end_handler(std::function<void()> handler);

    /// The socket, to write answers to. Only this class reads from it.
    tcp::socket& socket() { return socket_; }

    /// How the connection ends if a write is stopped.
    enum class stopped_write_end {
        in_order, ///< What was written is still delivered. The caller must be able to tell that more is
                  ///< missing.
        reset,    ///< The caller sees an error, as it takes an end in order for the end of the answer.
    };

    /// States that an answer is being written, for as long as this object lives. There is one at a time.
    class write_scope {
    public:
        write_scope(caller_connection& connection, stopped_write_end end_if_stopped)
            : connection_(connection) {
            connection_.write_in_progress_ = end_if_stopped;
        }
        ~write_scope() { connection_.write_in_progress_.reset(); }
        write_scope(const write_scope&) = delete;
        write_scope& operator=(const write_scope&) = delete;

    private:
        caller_connection& connection_;
    };

    /// Ends the write that is in progress, and keeps others from beginning, so that a caller which does not
    /// take what it is sent holds nobody up. Does nothing if no write is in progress.
    void stop_write();

    /// Closes the connection so that the caller can tell that an answer is incomplete.
    void reset();

    /// Closes the connection in order.
    void close();

private:
    static task<void> read_until_end(std::shared_ptr<caller_connection> self);
    task<void> wait_for_room();
    void note_end(net_error ec);

    tcp::socket socket_;
    boost::beast::flat_buffer input_;
    clock::time_point last_input_at_{}; ///< Time at which the last bytes were read.
    std::size_t read_ahead_bytes_ = default_read_ahead_bytes;
    notification input_changed_;   ///< Wakes the task that waits for input.
    notification room_changed_;    ///< Wakes the task that reads, once there is room for more bytes.
    std::optional<net_error> end_; ///< How the connection ended; empty while it is open.
    std::function<void()> end_handler_;
    std::optional<stopped_write_end> write_in_progress_;
};

} // namespace eelgrassgw
