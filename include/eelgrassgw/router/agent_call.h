#pragma once

/// One ticket sent to one agent, and everything that can become of it.

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

/// How an `agent_call` ended.
enum class call_end {
    ended,       ///< The run is over, and the whole output was passed on.
    not_sent,    ///< The agent could not be reached: the ticket never left.
    refused,     ///< The agent refused, or promised never to run it.
    agent_lost,  ///< The agent incarnation is gone, with what it knew.
    unknown,     ///< Nothing certain could be learnt within the limit.
    caller_gone, ///< The caller left; the run may go on.
};

struct call_result {
    call_end end = call_end::unknown;
    run_outcome outcome;     ///< Only with `ended`.
    bool is_own_run = false; ///< The run was started by this very ticket, so its sender bills it.
    bool output_kept = true; ///< Whether the agent still had the output.
    std::string code;        ///< Of a refusal.
    std::string message;
    std::chrono::milliseconds retry_after{0};
    std::size_t output_passed = 0; ///< Bytes given to the caller so far.
};

/// Receives output in order and without gaps.
template <class T>
concept output_sink = requires(T sink, const std::string& text) {
    { sink.accept(text) } -> std::same_as<bool>; ///< Returns false where the caller is gone.
    { sink.is_alive() } -> std::same_as<bool>;
};

/// What a stream of lines from an agent said.
struct stream_position {
    bool accepted = false;
    bool ended = false;
    bool caller_gone = false;
    std::size_t offset = 0; ///< Of the next byte.
    std::string nonce;
    int load = 0;
    bool output_kept = true;
    run_outcome outcome;
    std::chrono::steady_clock::time_point last_heard = std::chrono::steady_clock::now();
};

/// Applies one line. Returns false where the line does not continue the stream: it must be dropped then.
/// `text` receives new output.
bool apply_agent_line(const std::string& line, const std::string& agent, stream_position& position,
                      std::string& text);

/// Speaks to agents. Thread-safe, since it keeps no state.
class agent_caller {
public:
    /// `has_closed` tells whether an agent incarnation stopped as planned.
    agent_caller(std::string fleet_key, std::chrono::milliseconds resolve_limit,
                 std::function<bool(const std::string& incarnation)> has_closed)
        : fleet_key_(std::move(fleet_key)), resolve_limit_(resolve_limit),
          has_closed_(std::move(has_closed)) {}

    /// Sends `t` and passes its output on. Output before `offset` is left out.
    template <output_sink Sink>
    call_result run_ticket(const agent_member& agent, const ticket& t, std::size_t offset, Sink& sink) const {
        stream_position position;
        skipping_sink<Sink> skipping{sink, offset};
        result<std::unique_ptr<http_stream>> stream = open_ticket(agent, t);
        if (stream.failed_with(errc::unreachable)) {
            return make_result(call_end::not_sent, stream.error().text(), position);
        }
        if (stream && stream.value()->status() != status_accepted) {
            return refusal(*stream.value());
        }
        if (stream) {
            relay(*stream.value(), agent, position, skipping);
        }
        return follow_to_end(agent, t, position, skipping);
    }

    /// Joins a run that exists, without a ticket. Ends as `run_ticket` does.
    template <output_sink Sink>
    call_result join_run(const agent_member& agent, const ticket& t, std::size_t offset, Sink& sink) const {
        stream_position position;
        skipping_sink<Sink> skipping{sink, offset};
        return follow_to_end(agent, t, position, skipping);
    }

    /// Asks what became of `request_id`.
    result<Json::Value> ask_status(const agent_member& agent, const std::string& request_id) const;

    /// As above, and the agent promises never to run the ticket with `nonce`, unless it has begun.
    result<Json::Value> bar_ticket(const agent_member& agent, const std::string& request_id,
                                   const std::string& nonce) const;

    /// Tells an agent which records it need not keep any more. Returns whether it heard.
    bool tell_journalled(const agent_member& agent, const std::vector<std::string>& request_ids) const;

private:
    static constexpr int status_accepted = 200;
    static constexpr std::chrono::milliseconds retry_pause{100};

    template <class Sink>
    struct skipping_sink {
        Sink& sink;
        std::size_t skip = 0;

        bool accept(std::string text) {
            const std::size_t n = std::min(skip, text.size());
            skip -= n;
            text.erase(0, n);
            return text.empty() ? sink.is_alive() : sink.accept(text);
        }
        bool is_alive() { return sink.is_alive(); }
    };

    result<std::unique_ptr<http_stream>> open_ticket(const agent_member& agent, const ticket& t) const;
    result<std::unique_ptr<http_stream>> open_run(const agent_member& agent, const std::string& request_id,
                                                  std::size_t offset) const;
    static call_result refusal(http_stream& stream);
    static call_result make_result(call_end end, const std::string& message, const stream_position& position);
    static call_result closed_result(const agent_member& agent, const stream_position& position);
    static call_result ended_result(const ticket& t, const stream_position& position);

    /// Whether the agent now says that the run is not there and never will be, or that it restarted.
    call_result resolve_absent(const agent_member& agent, const ticket& t,
                               const stream_position& position) const;

    template <class Sink>
    static void relay(http_stream& stream, const agent_member& agent, stream_position& position, Sink& sink) {
        std::string line;
        while (!position.ended && stream.read_line(line)) {
            if (failpoint("router_stream_breaks") == failpoint_action::error) {
                return;
            }
            std::string text;
            position.last_heard = std::chrono::steady_clock::now();
            if (!apply_agent_line(line, agent.incarnation, position, text)) {
                return;
            }
            failpoint(position.ended ? "router_end_marker" : (text.empty() ? "router_wait" : "router_chunk"));
            const bool alive = text.empty() ? sink.is_alive() : sink.accept(text);
            if (!alive) {
                position.caller_gone = true;
                return;
            }
        }
    }

    /// Attaches again until the run ends, the agent denies it, or nothing was heard for the limit.
    template <class Sink>
    call_result follow_to_end(const agent_member& agent, const ticket& t, stream_position& position,
                              Sink& sink) const {
        for (;;) {
            if (position.ended) {
                return ended_result(t, position);
            }
            if (position.caller_gone) {
                return make_result(call_end::caller_gone, "the caller left", position);
            }
            const result<std::unique_ptr<http_stream>> stream =
                open_run(agent, t.request_id, position.offset);
            if (stream && stream.value()->status() == status_accepted) {
                relay(*stream.value(), agent, position, sink);
                if (position.ended || position.caller_gone) {
                    continue;
                }
            } else if (stream) {
                const call_result resolved = resolve_absent(agent, t, position);
                if (resolved.end != call_end::unknown) {
                    return resolved;
                }
            }
            // An agent closes only when journals have all that ran there, so a ticket that it did not
            // acknowledge to its own router did not run.
            if (!stream && !position.accepted && has_closed_(agent.incarnation)) {
                return closed_result(agent, position);
            }
            if (std::chrono::steady_clock::now() - position.last_heard > resolve_limit_) {
                return make_result(call_end::unknown, "agent \"" + agent.incarnation + "\" does not answer",
                                   position);
            }
            std::this_thread::sleep_for(retry_pause);
        }
    }

    std::string fleet_key_;
    std::chrono::milliseconds resolve_limit_;
    std::function<bool(const std::string& incarnation)> has_closed_;
};

} // namespace eelgrassgw
