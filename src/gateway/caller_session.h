#pragma once

/// Serves one caller's connection: reads requests one after the other and answers each of them.

#include "gateway/exchange.h"
#include "gateway/session_activity.h"
#include "intake/body_reader.h"
#include "net/socket_deadline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/read.hpp>

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
    /// Largest number of bytes of later requests that are read while a request is served.
    static constexpr std::size_t max_read_ahead_bytes = 64U << 10U;

    /// Time between two requests from which a session counts as stalled.
    static constexpr std::chrono::milliseconds min_stall{1000};

    /// Time that a caller which is refused for want of room has to take the refusal.
    static constexpr std::chrono::milliseconds refusal_time{1000};

    caller_session(Core& core, tcp::socket caller) : core_(core), caller_(std::move(caller)) {}

    /// Takes a place for the connection. Returns false if there is none. Must be called before `run`.
    bool take_place(std::size_t other_connections) {
        place_ = core_.intake->open(
            place_kind::caller, [this](place_state state) { lose_place(state); }, other_connections);
        return place_ != nullptr;
    }

    /// Serves requests until the connection ends.
    task<void> run();

    /// Ends the wait for the next request, if there is one. The session's own task then closes the
    /// connection, unless bytes of a request have arrived in the meantime.
    void close_if_idle() {
        if (idle_) {
            net_error ignored;
            caller_.cancel(ignored);
        }
    }

    session_activity activity() const { return activity_; }

    /// A session that has been between two requests for longer than that can last.
    struct stall {
        std::chrono::milliseconds duration{0};
        std::size_t unread_bytes = 0; ///< Bytes that were read from the connection and not parsed.
        int reads_after_answer = 0;   ///< Reads that were begun after the answer, which nothing ends.
    };

    /// Returns the stall of this session, once for each stall; nothing if there is none.
    std::optional<stall> take_stall(clock::time_point now) {
        const auto duration = std::chrono::floor<std::chrono::milliseconds>(now - activity_since_);
        if (activity_ != session_activity::between_requests || duration < min_stall || is_stall_taken_) {
            return std::nullopt;
        }
        is_stall_taken_ = true;
        return stall{duration, buffer_.size(), reads_after_answer_};
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

    using body_parser = http::request_parser<http::string_body>;

    caller_limits current_limits() const {
        return core_.configuration == nullptr ? caller_limits{} : core_.configuration->limits();
    }
    task<bool> wait_for_bytes();
    bool has_unread_bytes() const {
        net_error ignored; // There is nothing to read from a closed socket.
        return caller_.available(ignored) > 0;
    }
    void set_activity(session_activity activity) {
        activity_ = activity;
        activity_since_ = clock::now();
        is_stall_taken_ = false;
    }
    void lose_place(place_state state);
    task<bool> read_request(body_parser& parser, clock::time_point started);
    task<void> refuse_without_room(const text_request& request, clock::time_point started);
    task<void> refuse_unread_request(refusal rejection);
    task<bool> serve(const text_request& request, clock::time_point started);
    task<void> watch_caller(std::shared_ptr<exchange_control> control,
                            std::shared_ptr<asio::steady_timer> done);

    Core& core_;
    tcp::socket caller_;
    std::unique_ptr<intake_place> place_;
    boost::beast::flat_buffer buffer_;
    bool idle_ = false;
    std::weak_ptr<exchange_control> current_control_; ///< Control of the request in progress.
    session_activity activity_ = session_activity::between_requests;
    clock::time_point activity_since_ = clock::now();
    bool is_stall_taken_ = false;
    int reads_after_answer_ = 0;
};

template <class Core>
task<void> caller_session<Core>::run() {
    const auto self = this->shared_from_this();
    set_connection_options(caller_, unacknowledged_data_timeout);
    while (co_await wait_for_bytes()) {
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
        if (buffer_.size() == 0) {
            buffer_.shrink_to_fit();
        }
    }
    net_error ignored;
    caller_.shutdown(tcp::socket::shutdown_send, ignored);
}

/// Ends the wait on the connection when it loses its place: the session's own task then refuses the request
/// or closes the connection. A caller that does not take its answer cannot be told anything.
template <class Core>
void caller_session<Core>::lose_place(place_state state) {
    net_error ignored;
    if (state != place_state::sending) {
        caller_.cancel(ignored);
        return;
    }
    if (const auto control = current_control_.lock()) {
        control->note_caller_left();
    }
    caller_.set_option(asio::socket_base::linger(true, 0), ignored);
    caller_.close(ignored);
}

/// Waits for the first bytes of a request. Returns false if the connection ended or was idle for too long, or
/// if the router closes its idle connections.
template <class Core>
task<bool> caller_session<Core>::wait_for_bytes() {
    if (buffer_.size() > 0) {
        co_return true;
    }
    if (core_.closing_connections || place_->is_lost()) {
        co_return has_unread_bytes();
    }
    constexpr std::size_t first_read_bytes = 4096;
    idle_ = true;
    set_activity(session_activity::idle);
    net_error ec;
    {
        const socket_deadline limit(caller_, current_limits().idle_timeout);
        const std::size_t n =
            co_await caller_.async_read_some(buffer_.prepare(first_read_bytes), with_error(ec));
        buffer_.commit(n);
    }
    idle_ = false;
    co_return !ec || has_unread_bytes(); // Bytes may have arrived after `close_if_idle` ended the wait.
}

/// Reads one whole request. If the request exceeds a limit or cannot be parsed, sends a refusal and returns
/// false.
template <class Core>
task<bool> caller_session<Core>::read_request(body_parser& parser, clock::time_point started) {
    place_->begin_reading();
    set_activity(session_activity::reading);
    const caller_limits request_limits = current_limits();
    buffer_.max_size(request_limits.max_header_bytes + max_read_ahead_bytes);
    parser.header_limit(static_cast<std::uint32_t>(request_limits.max_header_bytes));
    parser.body_limit(request_limits.max_body_bytes);
    net_error ec;
    bool timed_out = false;
    {
        const socket_deadline limit(caller_, request_limits.header_timeout);
        co_await http::async_read_header(caller_, buffer_, parser, with_error(ec));
        timed_out = limit.passed();
    }
    if (!ec) {
        const auto coding = parser.get()[http::field::transfer_encoding];
        if (!coding.empty() && !boost::beast::iequals(coding, "chunked")) {
            refusal rejection{refusal_reason::malformed, "transfer coding is not \"chunked\"", {}};
            co_await refuse_unread_request(std::move(rejection));
            co_return false;
        }
        if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            const text_reply proceed(http::status::continue_, 11);
            co_await http::async_write(caller_, proceed, with_error(ec));
        }
        const socket_deadline limit(caller_, request_limits.idle_timeout);
        ec = co_await read_body(caller_, buffer_, parser, *place_);
        timed_out = limit.passed();
    }
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
    } else if (timed_out) {
        core_.metrics.count("requests", {{"outcome", name_of(refusal_reason::request_timeout)}});
    }
    co_return false;
}

/// Refuses a request for which the process has no room; the connection closes afterwards.
template <class Core>
task<void> caller_session<Core>::refuse_without_room(const text_request& request, clock::time_point started) {
    const socket_deadline limit(caller_, refusal_time);
    exchange<Core> refused(core_, request, caller_, std::make_shared<exchange_control>(caller_, *place_),
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
    caller_answer answer(caller_, unread_request, false, *place_);
    co_await answer.send_whole(to_reply(rejection));
}

template <class Core>
task<bool> caller_session<Core>::serve(const text_request& request, clock::time_point started) {
    auto control = std::make_shared<exchange_control>(caller_, *place_);
    current_control_ = control;
    set_activity(session_activity::serving);
    reads_after_answer_ = 0;
    auto watch_done = std::make_shared<asio::steady_timer>(core_.context, clock::time_point::max());
    asio::co_spawn(core_.callers, watch_caller(control, watch_done), asio::detached);
    exchange<Core> current(core_, request, caller_, control, started);
    const bool keep_alive = co_await current.serve();
    set_activity(session_activity::between_requests);
    net_error ec;
    caller_.cancel(ec);
    if (watch_done->expiry() == clock::time_point::max()) {
        co_await watch_done->async_wait(with_error(ec));
    }
    co_return keep_alive && !control->caller_left();
}

/// Detects that the caller closes the connection while its request is served. Bytes of the next request stay
/// in the buffer.
template <class Core>
task<void> caller_session<Core>::watch_caller(std::shared_ptr<exchange_control> control,
                                              std::shared_ptr<asio::steady_timer> done) {
    const auto self = this->shared_from_this();
    constexpr std::size_t read_bytes = 2048;
    net_error ec;
    while (!ec && buffer_.size() < max_read_ahead_bytes) {
        reads_after_answer_ += activity_ == session_activity::between_requests ? 1 : 0;
        const std::size_t n = co_await caller_.async_read_some(buffer_.prepare(read_bytes), with_error(ec));
        buffer_.commit(n);
    }
    if (ec && ec != asio::error::operation_aborted) {
        control->note_caller_left();
    }
    done->expires_at(clock::time_point::min());
}

} // namespace eelgrassgw
