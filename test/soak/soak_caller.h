#pragma once

/// A caller of the soak test, which keeps its connection open.

#include "gateway/raw_caller.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Sends requests over one connection until the router or its process ends it, and then connects to a random
/// router again. Not thread-safe.
class soak_caller {
public:
    /// Precondition: the references outlive this object.
    soak_caller(asio::io_context& context, const std::vector<std::string>& router_addresses,
                std::mt19937& random)
        : context_(context), router_addresses_(router_addresses), random_(random) {}

    /// Sends the request and returns its answer; nothing if no whole answer came.
    task<std::optional<text_reply>> call(std::string bytes) {
        if (!open_) {
            open_ = std::make_unique<raw_caller>(context_);
            co_await open_->connect(router_addresses_[random_() % router_addresses_.size()]);
        }
        co_await open_->send(std::move(bytes));
        co_return co_await read_next_answer();
    }

    /// Returns the answer to a request that was sent together with an earlier one; nothing if no whole answer
    /// came or the connection has ended.
    task<std::optional<text_reply>> read_next_answer() {
        if (!open_) {
            co_return std::nullopt;
        }
        std::optional<text_reply> answer = co_await open_->read_answer(answer_timeout);
        if (!answer || !answer->keep_alive()) {
            open_.reset();
        }
        co_return answer;
    }

private:
    static constexpr std::chrono::seconds answer_timeout{6};

    asio::io_context& context_;
    const std::vector<std::string>& router_addresses_;
    std::mt19937& random_;
    std::unique_ptr<raw_caller> open_; ///< Null if no connection is open.
};

} // namespace eelgrassgw
