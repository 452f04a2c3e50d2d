#pragma once

/// Serves one caller's connection: reads requests one after the other and answers each of them.

#include "gateway/exchange.h"
#include "gateway/session_activity.h"
#include "intake/request_reader.h"
#include "net/connection_pool.h"
#include "net/socket_deadline.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <functional>
#include <memory>

namespace eelgrassgw {

/// Returns the refusal for a request that could not be read; nothing if the connection ended.
inline std::optional<refusal> refusal_for_read_error(net_error ec) {
    if (ec == http::error::header_limit) {
        return refusal{refusal_reason::head_too_large, "the request's head is too large", {}};
    }
    if (ec == http::error::buffer_overflow) {
        return refusal{refusal_reason::malformed, "the request's chunk header or trailer is too large", {}};
    }
    if (ec == http::error::body_limit) {
        return refusal{refusal_reason::body_too_large, "the request's body is too large", {}};
    }
    if (ec == http::error::bad_transfer_encoding) {
        return refusal{refusal_reason::malformed, "transfer coding is not \"chunked\"", {}};
    }
    const bool is_http_error = ec.category() == make_error_code(http::error::bad_method).category();
    const bool connection_ended = ec == http::error::end_of_stream || ec == http::error::partial_message;
    if (is_http_error && !connection_ended) {
        return refusal{refusal_reason::malformed, ec.message(), {}};
    }
    return std::nullopt;
}

/// Serves one connection. Its own task owns it; the gateway keeps a weak reference so that it can close the
/// connection while it is idle. Not thread-safe.
template <class Core>
class caller_session : public std::enable_shared_from_this<caller_session<Core>> {
public:
    using clock = std::chrono::steady_clock;

    /// Time that the caller may leave sent data unacknowledged before the connection is closed.
    static constexpr std::chrono::milliseconds unacknowledged_data_timeout{5000};
    /// Number of bytes that are read from an idle connection before its session begins a request, which then
    /// counts what it holds.
    static constexpr std::size_t max_idle_bytes = 4U << 10U;
    /// Number of bytes of a request that may wait to be parsed, besides an incomplete head.
    static constexpr std::size_t max_unparsed_body_bytes = 32U << 10U;
    /// Number of bytes of later requests that are read while a request is served.
    static constexpr std::size_t max_read_ahead_bytes = 64U << 10U;
    /// Time between two requests from which a session counts as stalled.
    static constexpr std::chrono::milliseconds min_stall{1000};

    caller_session(Core& core, tcp::socket caller)
        : core_(core), caller_(std::make_shared<caller_connection>(std::move(caller))) {}
    ~caller_session() { caller_->close(); }
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// Starts to read from the connection, ahead of the callers' work, so that requests are seen in the order
    /// of their arrival. Must be called once, before `run`.
    void start() {
        set_connection_options(caller_->socket(), unacknowledged_data_timeout);
        caller_->set_read_ahead(max_idle_bytes);
        caller_->start_reading(core_.context.get_executor());
    }

    /// Takes a place for the connection. Returns false if there is none. Must be called before `run`.
    bool take_place(std::size_t other_connections) {
        place_ = core_.intake->open(
            place_kind::caller, [this](place_state state) { lose_place(state); }, other_connections);
        return place_ != nullptr;
    }

    /// Serves requests until the connection ends.
    task<void> run();

    /// Has a session that waits for a request look whether the router closes its idle connections. Bytes of a
    /// request that have arrived by then are served.
    void close_if_idle() { caller_->wake(); }

    session_activity activity() const { return activity_; }

    /// A session that has been between two requests for longer than that can last.
    struct stall {
        std::chrono::milliseconds duration{0};
        std::size_t unread_bytes = 0; ///< Bytes that were read from the connection and not parsed.
    };

    /// Returns the stall of this session, once for each stall; nothing if there is none.
    std::optional<stall> take_stall(clock::time_point now) {
        const auto duration = std::chrono::floor<std::chrono::milliseconds>(now - activity_since_);
        if (activity_ != session_activity::between_requests || duration < min_stall || is_stall_taken_) {
            return std::nullopt;
        }
        is_stall_taken_ = true;
        return stall{duration, caller_->input().size()};
    }

    /// Gives the request in progress up, if there is one: its caller gets the final answer at once.
    void give_up_request() {
        if (const auto control = current_control_.lock()) {
            control->note_timeout();
        }
    }

private:
    /// Counts a request and its body as in progress, also if serving it ends with an exception.
    class running_request {
    public:
        running_request(Core& core, std::size_t body_bytes) : core_(core), body_bytes_(body_bytes) {
            ++core_.running_requests;
            core_.body_bytes_in_use += body_bytes_;
        }
        ~running_request() {
            --core_.running_requests;
            core_.body_bytes_in_use -= body_bytes_;
        }
        running_request(const running_request&) = delete;
        running_request& operator=(const running_request&) = delete;

    private:
        Core& core_;
        std::size_t body_bytes_;
    };

    /// The bytes of a request that arrive until `deadline`, as long as the connection keeps its place.
    class request_source {
    public:
        request_source(caller_session& session, clock::time_point deadline)
            : session_(session), deadline_(deadline) {}

        boost::beast::flat_buffer& input() { return session_.caller_->input(); }
        bool is_input_full() const { return session_.caller_->is_input_full(); }
        task<net_error> read_more() {
            const std::function<bool()> gives_up = [this] {
                return session_.place_->is_lost();
            };
            return session_.caller_->wait_for_input(input().size(), deadline_, gives_up);
        }

    private:
        caller_session& session_;
        clock::time_point deadline_;
    };

    caller_limits current_limits() const {
        return core_.configuration == nullptr ? caller_limits{} : core_.configuration->limits();
    }
    void set_activity(session_activity activity) {
        activity_ = activity;
        activity_since_ = clock::now();
        is_stall_taken_ = false;
    }
    void lose_place(place_state state);
    task<bool> wait_for_request();
    task<bool> read_request(body_parser& parser, clock::time_point started);
    task<net_error> read_whole_request(body_parser& parser, const caller_limits& limits);
    task<void> invite_body(const body_parser& parser);
    task<void> refuse_without_room(const text_request& request, clock::time_point started);
    task<void> refuse_unread_request(refusal rejection);
    task<bool> serve(const text_request& request, clock::time_point started);

    Core& core_;
    std::shared_ptr<caller_connection> caller_; ///< Shared with the task that reads from it.
    std::unique_ptr<intake_place> place_;
    std::weak_ptr<exchange_control> current_control_; ///< Control of the request in progress.
    session_activity activity_ = session_activity::idle;
    clock::time_point activity_since_ = clock::now();
    bool is_stall_taken_ = false;
};

template <class Core>
task<void> caller_session<Core>::run() {
    const auto self = this->shared_from_this();
    while (co_await wait_for_request()) {
        const auto started = clock::now();
        auto parser = std::make_unique<body_parser>();
        if (!co_await read_request(*parser, started)) {
            break;
        }
        const text_request request = parser->release();
        parser.reset();
        if (!place_->begin_serving(request.body().size())) {
            co_await refuse_without_room(request, started);
            break;
        }
        const running_request counted(core_, request.body().size());
        const bool keep_alive = co_await serve(request, started);
        if (!keep_alive || core_.closing_connections || place_->is_lost()) {
            break;
        }
        place_->end_request();
        if (caller_->input().size() == 0) {
            caller_->input().shrink_to_fit();
        }
    }
}

/// Ends the wait on the connection when it loses its place: the session's own task then refuses the request
/// or closes the connection. A caller that does not take its answer cannot be told anything.
template <class Core>
void caller_session<Core>::lose_place(place_state state) {
    if (state != place_state::sending) {
        caller_->wake();
        return;
    }
    if (const auto control = current_control_.lock()) {
        control->note_caller_left();
    }
    caller_->reset();
}

/// Waits for the first bytes of a request. Returns false if the connection ended or was idle for too long, or
/// if the router closes its idle connections.
template <class Core>
task<bool> caller_session<Core>::wait_for_request() {
    set_activity(session_activity::idle);
    if (caller_->input().size() > 0) {
        // Requests that arrived together take turns with those of other callers. The way through the control
        // work is that of a session that is woken, so requests are served in the order of their arrival.
        co_await asio::post(core_.context, asio::use_awaitable);
        co_return true;
    }
    caller_->set_read_ahead(max_idle_bytes);
    const auto deadline = clock::now() + current_limits().idle_timeout;
    const std::function<bool()> gives_up = [this] {
        return core_.closing_connections || place_->is_lost();
    };
    (void)co_await caller_->wait_for_input(0, deadline, gives_up);
    caller_->read_arrived(); // What has arrived by now is served.
    co_return caller_->input().size() > 0;
}

/// Reads one whole request. If the request exceeds a limit or cannot be parsed, sends a refusal and returns
/// false.
template <class Core>
task<bool> caller_session<Core>::read_request(body_parser& parser, clock::time_point started) {
    place_->begin_reading();
    set_activity(session_activity::reading);
    const caller_limits request_limits = current_limits();
    parser.header_limit(static_cast<std::uint32_t>(request_limits.max_header_bytes));
    parser.body_limit(request_limits.max_body_bytes);
    const net_error ec = co_await read_whole_request(parser, request_limits);
    if (!ec) {
        co_return true;
    }
    if (place_->is_lost() && parser.is_header_done()) {
        co_await refuse_without_room(parser.get(), started);
        co_return false;
    }
    std::optional<refusal> rejection = refusal_for_read_error(ec);
    if (rejection) {
        co_await refuse_unread_request(std::move(*rejection));
    } else if (ec == asio::error::timed_out) {
        core_.metrics.count("requests", {{"outcome", name_of(refusal_reason::request_timeout)}});
    }
    co_return false;
}

/// Reads the head and the body of a request. Returns the error that ended it.
template <class Core>
task<net_error> caller_session<Core>::read_whole_request(body_parser& parser, const caller_limits& limits) {
    caller_->set_read_ahead(limits.max_header_bytes + max_unparsed_body_bytes);
    request_source head_source(*this, clock::now() + limits.header_timeout);
    const net_error ec = co_await read_head(head_source, parser);
    if (ec) {
        co_return ec;
    }
    const auto coding = parser.get()[http::field::transfer_encoding];
    if (!coding.empty() && !boost::beast::iequals(coding, "chunked")) {
        co_return http::error::bad_transfer_encoding;
    }
    const auto deadline = clock::now() + limits.idle_timeout;
    co_await invite_body(parser);
    request_source body_source(*this, deadline);
    co_return co_await read_body(body_source, parser, *place_);
}

/// Tells a caller that waits with its body for permission to send it.
template <class Core>
task<void> caller_session<Core>::invite_body(const body_parser& parser) {
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const text_reply proceed(http::status::continue_, 11);
        const socket_deadline limit(caller_->socket(), caller_answer::own_answer_time);
        net_error ignored; // A caller that has left is noticed by the read that follows.
        co_await http::async_write(caller_->socket(), proceed, with_error(ignored));
    }
}

/// Refuses a request for which the process has no room; the connection closes afterwards.
template <class Core>
task<void> caller_session<Core>::refuse_without_room(const text_request& request, clock::time_point started) {
    exchange<Core> refused(core_, request, *caller_, std::make_shared<exchange_control>(*caller_, *place_),
                           started);
    co_await refused.refuse_without_room();
}

/// Refuses a request that was not read to its end; the connection closes afterwards.
template <class Core>
task<void> caller_session<Core>::refuse_unread_request(refusal rejection) {
    Json::Value fields;
    fields["outcome"] = name_of(rejection.reason);
    fields["error"] = rejection.message;
    core_.log.write_failure("request_not_read", std::move(fields));
    core_.metrics.count("requests", {{"outcome", name_of(rejection.reason)}});
    const text_request unread_request;
    caller_answer answer(*caller_, unread_request, false, *place_);
    co_await answer.send_own(to_reply(rejection));
}

/// Serves one request. Returns whether the connection can take another one.
template <class Core>
task<bool> caller_session<Core>::serve(const text_request& request, clock::time_point started) {
    auto control = std::make_shared<exchange_control>(*caller_, *place_);
    current_control_ = control;
    set_activity(session_activity::serving);
    caller_->set_read_ahead(std::max(current_limits().max_header_bytes, max_read_ahead_bytes));
    caller_->set_end_handler([control] { control->note_caller_left(); });
    exchange<Core> current(core_, request, *caller_, control, started);
    const bool keep_alive = co_await current.serve();
    caller_->set_end_handler(nullptr);
    set_activity(session_activity::between_requests);
    co_return keep_alive && !control->caller_left();
}

} // namespace eelgrassgw
