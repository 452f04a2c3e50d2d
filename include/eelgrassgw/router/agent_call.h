#pragma once

/// Sends tickets to agents, follows their runs and reports how each call ended.

#include "eelgrassgw/base/failpoint.h"
#include "eelgrassgw/membership/member.h"
#include "eelgrassgw/run/run_outcome.h"
#include "eelgrassgw/run/ticket.h"
#include "eelgrassgw/transport/fleet_peer.h"

#include <chrono>
#include <concepts>
#include <functional>
#include <thread>
#include <vector>

namespace eelgrassgw {

/// The ways in which a call to an agent can end.
enum class call_end {
    ended,               ///< The run is over, and its whole output was forwarded.
    not_sent,            ///< The agent was unreachable, so the ticket was not sent.
    refused,             ///< The agent refused the ticket, or promised never to run it.
    agent_lost,          ///< The agent incarnation was replaced, and its records are lost.
    unknown,             ///< The outcome could not be determined within the time limit.
    caller_disconnected, ///< The caller disconnected; the run may continue.
};

/// Describes how a call to an agent ended, with the outcome or the cause.
struct call_result {
    call_end end = call_end::unknown;
    run_outcome outcome; ///< Outcome of the run; set only if `end` is `ended`.
    /// Whether this ticket started the run, so that its sender bills it.
    bool started_by_this_ticket = false;
    bool output_kept = true; ///< Whether the agent still held the output of the run.
    std::string code;        ///< Error code of the refusal; empty if the agent did not refuse.
    std::string message;     ///< Human-readable cause of the ending.
    std::chrono::milliseconds retry_after{0}; ///< Delay that the agent asked for; 0 if it named none.
    std::size_t output_bytes_received = 0;    ///< Number of output bytes received so far.
};

/// A type that receives the output of a run, in order and without gaps.
template <class T>
concept output_sink = requires(T sink, const std::string& text) {
    { sink.accept(text) } -> std::same_as<bool>; ///< Returns false if the caller has disconnected.
    { sink.is_alive() } -> std::same_as<bool>;
};

/// Progress of one run, as reported by the lines of an agent's stream. It outlives reconnects.
struct stream_position {
    bool accepted = false;            ///< Whether the agent confirmed the run.
    bool ended = false;               ///< Whether the end of the run was received.
    bool caller_disconnected = false; ///< Whether the caller disconnected.
    std::size_t offset = 0;           ///< Offset of the next output byte.
    std::string nonce;                ///< Nonce of the ticket that started the run.
    int load = 0;                     ///< Number of requests that run or wait at the agent.
    bool output_kept = true;          ///< Whether the agent still holds the output of the run.
    run_outcome outcome;              ///< Outcome of the run; set only if `ended`.
    /// Time at which the last line was received.
    std::chrono::steady_clock::time_point last_line_time = std::chrono::steady_clock::now();
};

/// Applies one line of the stream to `position` and stores new output in `text`. Returns false if the line
/// does not continue the stream; the caller must then drop the connection.
bool apply_agent_line(const std::string& line, const std::string& agent, stream_position& position,
                      std::string& text);

/// A client for the requests that routers send to agents. It is thread-safe, since it keeps no state.
class agent_caller {
public:
    /// `has_closed` returns whether an agent incarnation shut down in an orderly way. A call gives up once it
    /// has received nothing for `resolve_limit`.
    agent_caller(std::string fleet_key, std::chrono::milliseconds resolve_limit,
                 std::function<bool(const std::string& incarnation)> has_closed)
        : fleet_key_(std::move(fleet_key)), resolve_limit_(resolve_limit),
          has_closed_(std::move(has_closed)) {}

    /// Sends `t` and forwards the output of its run to `sink`, starting at byte `offset`.
    template <output_sink Sink>
    call_result run_ticket(const agent_member& agent, const ticket& t, std::size_t offset, Sink& sink) const {
        stream_position position;
        skipping_sink<Sink> skipping{sink, offset};
        result<std::unique_ptr<http_stream>> stream = open_ticket(agent, t);
        if (stream.failed_with(errc::unreachable)) {
            return make_result(call_end::not_sent, stream.error().text(), position);
        }
        if (stream && is_refusal(stream.value()->status())) {
            return read_refusal(*stream.value());
        }
        if (stream && stream.value()->status() == status_accepted) {
            forward_output(*stream.value(), agent, position, skipping);
        }
        return follow_run_to_end(agent, t, position, skipping);
    }

    /// Attaches to the existing run of `t` without sending a ticket. The result is the same as for
    /// `run_ticket`.
    template <output_sink Sink>
    call_result join_run(const agent_member& agent, const ticket& t, std::size_t offset, Sink& sink) const {
        stream_position position;
        skipping_sink<Sink> skipping{sink, offset};
        return follow_run_to_end(agent, t, position, skipping);
    }

    /// Returns the agent's status of the request `request_id`.
    result<Json::Value> ask_status(const agent_member& agent, const std::string& request_id) const;

    /// Returns the status like `ask_status`. In addition, the agent promises never to run the ticket with
    /// `nonce` unless its run has already begun.
    result<Json::Value> bar_ticket(const agent_member& agent, const std::string& request_id,
                                   const std::string& nonce) const;

    /// Tells the agent that the billing records of `request_ids` are in the journal, so that it may discard
    /// them. Returns whether the agent confirmed.
    bool notify_journalled(const agent_member& agent, const std::vector<std::string>& request_ids) const;

private:
    static constexpr int status_accepted = 200;

    /// Returns whether an agent that answers a ticket with this HTTP status never runs it. Other failures,
    /// such as an internal error, may come after the run has begun.
    static constexpr bool is_refusal(int status) {
        constexpr int unauthenticated = 401;
        constexpr int conflict = 409;
        return status == unauthenticated || status == conflict;
    }

    static constexpr std::chrono::milliseconds retry_interval{100};

    /// A sink that discards the first `bytes_to_skip` bytes and forwards the rest to `sink`.
    template <class Sink>
    struct skipping_sink {
        Sink& sink;
        std::size_t bytes_to_skip = 0;

        bool accept(std::string text) {
            const std::size_t n = std::min(bytes_to_skip, text.size());
            bytes_to_skip -= n;
            text.erase(0, n);
            return text.empty() ? sink.is_alive() : sink.accept(text);
        }
        bool is_alive() { return sink.is_alive(); }
    };

    result<std::unique_ptr<http_stream>> open_ticket(const agent_member& agent, const ticket& t) const;
    result<std::unique_ptr<http_stream>> open_run(const agent_member& agent, const std::string& request_id,
                                                  std::size_t offset) const;
    static call_result read_refusal(http_stream& stream);
    static call_result make_result(call_end end, const std::string& message, const stream_position& position);
    static call_result make_closed_result(const agent_member& agent, const stream_position& position);
    static call_result make_ended_result(const ticket& t, const stream_position& position);

    /// Asks the agent about a run that it did not let the router attach to, and bars the ticket. Returns
    /// `refused` if the ticket never runs, `agent_lost` if the agent restarted and `unknown` otherwise.
    call_result resolve_missing_run(const agent_member& agent, const ticket& t,
                                    const stream_position& position) const;

    /// Forwards output from `stream` to `sink` until the stream or the run ends or the caller disconnects.
    template <class Sink>
    static void forward_output(http_stream& stream, const agent_member& agent, stream_position& position,
                               Sink& sink) {
        std::string line;
        while (!position.ended && stream.read_line(line)) {
            if (failpoint("router_stream_breaks") == failpoint_action::error) {
                return;
            }
            std::string text;
            position.last_line_time = std::chrono::steady_clock::now();
            if (!apply_agent_line(line, agent.incarnation, position, text)) {
                return;
            }
            failpoint(position.ended ? "router_end_marker" : (text.empty() ? "router_wait" : "router_chunk"));
            const bool alive = text.empty() ? sink.is_alive() : sink.accept(text);
            if (!alive) {
                position.caller_disconnected = true;
                return;
            }
        }
    }

    /// Reattaches to the run until it ends, the agent reports that it will never run, the caller disconnects,
    /// or nothing was received for the time limit.
    template <class Sink>
    call_result follow_run_to_end(const agent_member& agent, const ticket& t, stream_position& position,
                                  Sink& sink) const {
        for (;;) {
            if (position.ended) {
                return make_ended_result(t, position);
            }
            if (position.caller_disconnected) {
                return make_result(call_end::caller_disconnected, "the caller left", position);
            }
            const result<std::unique_ptr<http_stream>> stream =
                open_run(agent, t.request_id, position.offset);
            if (stream && stream.value()->status() == status_accepted) {
                forward_output(*stream.value(), agent, position, sink);
                if (position.ended || position.caller_disconnected) {
                    continue;
                }
            } else if (stream) {
                const call_result resolved = resolve_missing_run(agent, t, position);
                if (resolved.end != call_end::unknown) {
                    return resolved;
                }
            }
            // An agent shuts down only after the journals contain every run that it executed. A ticket whose
            // acceptance never reached this router therefore did not run.
            if (!stream && !position.accepted && has_closed_(agent.incarnation)) {
                return make_closed_result(agent, position);
            }
            if (std::chrono::steady_clock::now() - position.last_line_time > resolve_limit_) {
                return make_result(call_end::unknown, "agent \"" + agent.incarnation + "\" does not answer",
                                   position);
            }
            std::this_thread::sleep_for(retry_interval);
        }
    }

    std::string fleet_key_;
    std::chrono::milliseconds resolve_limit_;
    std::function<bool(const std::string& incarnation)> has_closed_;
};

} // namespace eelgrassgw
