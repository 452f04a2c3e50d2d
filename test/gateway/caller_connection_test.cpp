/// Tests the connection of a caller on its own: what arrives, and how it ends, is never missed, in whatever
/// order it meets the waits for it.

#include "gateway/caller_connection.h"

#include "loopback.h"
#include "net/address.h"
#include "net/http_service.h"
#include "overload/deferred_queue.h"
#include "task_runner.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class caller_connection_test : public ::testing::Test {
protected:
    using clock = caller_connection::clock;

    caller_connection_test() : caller(context) {
        const std::string address = next_loopback_address();
        auto acceptor = listen_on(context, address);
        EXPECT_TRUE(acceptor.ok());
        caller.connect(parse_address(address).value());
        connection =
            std::make_shared<caller_connection>(acceptor.value().accept(asio::any_io_executor(callers)));
    }
    void TearDown() override {
        if (connection != nullptr) {
            connection->close();
        }
    }

    /// Runs `body` as callers' work, as a session does.
    void run(std::function<task<void>()> body) {
        connection->start_reading(context.get_executor());
        run_task(context, [&]() -> task<void> {
            co_await asio::co_spawn(asio::any_io_executor(callers), body(), asio::use_awaitable);
        });
    }

    void send(const std::string& bytes) { asio::write(caller, asio::buffer(bytes)); }

    /// Waits for more than `known_bytes` of input.
    task<net_error> wait_for_input(std::size_t known_bytes, std::chrono::milliseconds limit = 2s) {
        const std::function<bool()> gives_up = [this] {
            return is_given_up;
        };
        return connection->wait_for_input(known_bytes, clock::now() + limit, gives_up);
    }

    std::string input() const {
        const auto data = connection->input().data();
        return {static_cast<const char*>(data.data()), data.size()};
    }

    /// Waits until `condition` holds, at most two seconds.
    task<bool> wait_until(std::function<bool()> condition) {
        for (int i = 0; i < 200 && !condition(); ++i) {
            co_await sleep_for(10ms);
        }
        co_return condition();
    }

    asio::io_context context;
    deferred_executor callers{context};
    tcp::socket caller;
    std::shared_ptr<caller_connection> connection;
    bool is_given_up = false;
};

/// Guards against a wait that begins after the bytes were read and never ends.
TEST_F(caller_connection_test, bytes_that_arrive_while_nobody_waits_end_the_next_wait) {
    run([&]() -> task<void> {
        send("first");
        EXPECT_TRUE(co_await wait_until([&] { return input() == "first"; }));
        EXPECT_FALSE(co_await wait_for_input(0));
        send(" second");
        EXPECT_FALSE(co_await wait_for_input(5));
        EXPECT_EQ("first second", input());
    });
}

/// Guards against a wake-up that meets no wait, or one whose handler queues behind other work.
TEST_F(caller_connection_test, wait_that_is_to_be_given_up_ends_whenever_it_is_told) {
    run([&]() -> task<void> {
        is_given_up = true;
        connection->wake();
        EXPECT_EQ(asio::error::operation_aborted, co_await wait_for_input(0));
        is_given_up = false;
        asio::post(context, [&] {
            is_given_up = true;
            connection->wake();
        });
        EXPECT_EQ(asio::error::operation_aborted, co_await wait_for_input(0));
    });
}

TEST_F(caller_connection_test, input_before_the_end_of_a_wait_counts_and_input_after_its_deadline_does_not) {
    run([&]() -> task<void> {
        EXPECT_EQ(asio::error::timed_out, co_await wait_for_input(0, 30ms));
        const std::function<bool()> gives_up = [] {
            return true;
        };
        send("late");
        EXPECT_TRUE(co_await wait_until([&] { return input() == "late"; }));
        EXPECT_FALSE(co_await connection->wait_for_input(0, clock::now() + 1s, gives_up));
        const auto passed = clock::now() - 1s;
        const std::function<bool()> never = [] {
            return false;
        };
        EXPECT_EQ(asio::error::timed_out, co_await connection->wait_for_input(0, passed, never));
    });
}

/// Guards against a caller that leaves between two requests, when nobody has set a handler yet.
TEST_F(caller_connection_test, end_of_the_connection_reaches_a_handler_that_is_set_later) {
    run([&]() -> task<void> {
        send("whole request");
        caller.close();
        EXPECT_TRUE(co_await wait_until([&] { return connection->has_ended(); }));
        EXPECT_EQ("whole request", input());
        bool is_told = false;
        connection->set_end_handler([&] { is_told = true; });
        EXPECT_TRUE(is_told);
        EXPECT_EQ(asio::error::eof, co_await wait_for_input(input().size()));
    });
}

/// Guards against a caller whose leaving stays unseen because nothing more is read from it.
TEST_F(caller_connection_test, end_behind_more_bytes_than_are_read_ahead_is_noticed) {
    run([&]() -> task<void> {
        bool is_told = false;
        connection->set_end_handler([&] { is_told = true; });
        send(std::string(caller_connection::default_read_ahead_bytes + 1000, 'x'));
        EXPECT_TRUE(co_await wait_until([&] { return connection->is_input_full(); }));
        EXPECT_FALSE(is_told);
        caller.close();
        EXPECT_TRUE(co_await wait_until([&] { return is_told; }));
    });
}

TEST_F(caller_connection_test, bytes_beyond_those_that_are_read_ahead_follow_once_there_is_room) {
    const std::string sent(3 * caller_connection::default_read_ahead_bytes, 'x');
    run([&]() -> task<void> {
        std::thread sender([&] { send(sent); });
        std::size_t received = 0;
        while (received < sent.size()) {
            const net_error ec = co_await wait_for_input(0);
            EXPECT_FALSE(ec) << ec.message();
            if (ec) {
                break;
            }
            EXPECT_LE(connection->input().size(), caller_connection::default_read_ahead_bytes);
            received += connection->input().size();
            connection->input().consume(connection->input().size());
        }
        sender.join();
        EXPECT_EQ(sent.size(), received);
    });
}

/// Guards against a write to a caller that does not read which outlives the request's time.
TEST_F(caller_connection_test, stopped_write_ends_while_a_step_of_it_is_pending) {
    run([&]() -> task<void> {
        const caller_connection::write_scope writing(*connection,
                                                     caller_connection::stopped_write_end::in_order);
        const std::string answer(32U << 20U, 'a');
        asio::steady_timer timeout(context, 50ms);
        timeout.async_wait([&](net_error) { connection->stop_write(); });
        net_error ec;
        co_await asio::async_write(connection->socket(), asio::buffer(answer), with_error(ec));
        EXPECT_TRUE(ec);
    });
}

/// Guards against a stop that meets no pending step, because the last one has completed and the next one has
/// not begun.
TEST_F(caller_connection_test, stopped_write_ends_between_two_steps_of_it) {
    run([&]() -> task<void> {
        const caller_connection::write_scope writing(*connection,
                                                     caller_connection::stopped_write_end::in_order);
        net_error ec;
        co_await connection->socket().async_write_some(asio::buffer("step", 4), with_error(ec));
        EXPECT_FALSE(ec);
        connection->stop_write();
        const std::string rest(32U << 20U, 'a');
        co_await asio::async_write(connection->socket(), asio::buffer(rest), with_error(ec));
        EXPECT_TRUE(ec);
    });
}

/// A caller that takes the end of the connection for the end of the answer must see an error.
TEST_F(caller_connection_test, stopped_write_resets_the_connection_if_an_end_in_order_would_look_complete) {
    run([&]() -> task<void> {
        const caller_connection::write_scope writing(*connection,
                                                     caller_connection::stopped_write_end::reset);
        net_error ec;
        co_await asio::async_write(connection->socket(), asio::buffer("part", 4), with_error(ec));
        connection->stop_write();
    });
    net_error ec;
    std::string received;
    asio::read(caller, asio::dynamic_buffer(received), ec);
    EXPECT_EQ(asio::error::connection_reset, ec);
}

TEST_F(caller_connection_test, stop_without_a_write_in_progress_leaves_the_final_answer_possible) {
    run([&]() -> task<void> {
        connection->stop_write();
        net_error ec;
        co_await asio::async_write(connection->socket(), asio::buffer("final", 5), with_error(ec));
        EXPECT_FALSE(ec);
    });
    std::string received(5, '\0');
    asio::read(caller, asio::buffer(received));
    EXPECT_EQ("final", received);
}

/// Guards against a task that reads on after its session has ended and keeps the socket open.
TEST_F(caller_connection_test, closed_connection_is_released_by_the_task_that_reads) {
    std::weak_ptr<caller_connection> released = connection;
    run([&]() -> task<void> {
        send("next request");
        EXPECT_TRUE(co_await wait_until([&] { return !input().empty(); }));
        connection->close();
        EXPECT_EQ(asio::error::operation_aborted, co_await wait_for_input(input().size()));
        const auto kept = std::exchange(connection, nullptr);
        EXPECT_TRUE(co_await wait_until([&] { return kept.use_count() == 1; }));
    });
    EXPECT_TRUE(released.expired());
}

} // namespace
} // namespace eelgrassgw
