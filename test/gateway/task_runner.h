#pragma once

/// Runs asynchronous tasks in tests, with a time limit.

#include "net/task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <exception>
#include <functional>

namespace eelgrassgw {

/// Runs `body` on `context` until it ends. Fails the test if that takes longer than `limit`.
inline void run_task(asio::io_context& context, std::function<task<void>()> body,
                     std::chrono::seconds limit = std::chrono::seconds(20)) {
    bool finished = false;
    asio::co_spawn(context, body(), [&](std::exception_ptr error) {
        finished = true;
        context.stop();
        if (error) {
            std::rethrow_exception(error);
        }
    });
    context.restart();
    context.run_for(limit);
    EXPECT_TRUE(finished) << "the task did not end within " << limit.count() << " s";
}

} // namespace eelgrassgw
