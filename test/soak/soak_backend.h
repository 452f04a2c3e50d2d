#pragma once

/// Implements a backend server for the soak test. It serves plain requests and streams, fails at random, and
/// counts the runs of each request.

#include "gateway/scripted_backend.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace eelgrassgw {

/// State that all backend servers of one soak test share: the runs they counted and their random failures.
struct soak_state {
    std::map<std::string, int> runs; ///< Number of runs by the id of the caller's attempt.
    std::mt19937 random;             ///< Source of all random choices of the backend servers.
    std::mt19937 random_framing;     ///< Source of the choices how answers are framed and what precedes them.
    std::mt19937 random_odd_answers; ///< Source of the choices about answers that are none in the protocol.
    std::mt19937 random_refusals;    ///< Source of the choices about refusals, pauses and pipelined requests.
    std::chrono::milliseconds event_pause{10}; ///< Time between two events of a stream.
    bool failures_disabled = false;            ///< True if the backend servers no longer inject failures.

    /// Number of requests with the deadly part that servers began to answer, each of which ended its server.
    int crashes = 0;

    /// Number of deadly requests that servers began to run, each of which ended its server.
    int crashes_by_request = 0;

    /// Limits that servers name in all their answers, in requests per second, by the id of the server.
    std::map<std::string, double> limits;

    /// Times at which requests reached the servers that name a limit, by the id of the server.
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> limited_arrivals;

    /// Returns true with a probability of `percent`, or false if failures are disabled.
    bool draw_failure(unsigned percent) { return !failures_disabled && random() % 100 < percent; }

    /// Returns whether a server writes an earlier refusal once more before its answer.
    bool draw_late_refusal() { return !failures_disabled && random_framing() % 100 < 3; }

    /// Returns whether a server writes a refusal that names no request before its first answer on a
    /// connection.
    bool draw_unsolicited_refusal() { return !failures_disabled && random_refusals() % 100 < 2; }

    /// Returns whether a server that has refused a request writes that refusal once more, later.
    bool draw_repeated_refusal() { return !failures_disabled && random_refusals() % 2 == 0; }

    /// Returns whether a server, after it has run a request, writes bytes that are no answer.
    bool draw_odd_answer() { return !failures_disabled && random_odd_answers() % 100 < 3; }

    /// Returns whether a server answers a resumed stream with an error.
    bool draw_error_after_break() { return !failures_disabled && random_framing() % 100 < 25; }
};

/// Returns the body with which every server answers a plain request.
inline std::string make_plain_answer(const std::string& id) {
    return "done " + id;
}

constexpr int events_per_stream = 20;

/// Shared prompt part that ends each server which begins to answer a request with it.
constexpr const char* deadly_part = "deadbeef";

/// Path of the request that ends each server which begins to run it.
constexpr const char* deadly_path = "/read/deadly";

/// Returns the event with this number that a server of this software version writes for the request `id`.
inline std::string make_stream_event(const std::string& id, int number, const std::string& version) {
    const std::string text = std::to_string(number);
    return "id: " + text + "\ndata: " + id + " " + text + " " + version + "\n\n";
}

/// One backend server with its own address and id.
class soak_backend {
public:
    soak_backend(asio::io_context& context, const std::string& address, std::shared_ptr<soak_state> state);

    /// Id of this server. The server declines requests that name another id.
    std::string id;

    /// Version of this server's software, which stands in each event of its streams.
    std::string version = "v1";

    /// Stops and continues the server, as signals do with a process; see `scripted_backend::pause`.
    void pause() { server_.pause(); }
    void resume() { server_.resume(); }

    /// Function that makes the server's address unreachable for a while, as after the end of its process.
    std::function<void()> crash;

private:
    task<void> serve(backend_exchange& exchange);
    task<void> serve_stream(backend_exchange& exchange);
    static task<void> refuse(backend_exchange& exchange, const std::string& refusal);
    task<void> write_stray_refusals(backend_exchange& exchange);
    std::string make_late_refusal();
    std::string make_head(const backend_exchange& exchange, int status) const;
    task<void> answer(backend_exchange& exchange, int status, std::string body) const;
    std::string limit_line() const;
    task<void> answer_plain_request(backend_exchange& exchange);
    task<void> write_odd_answer(backend_exchange& exchange);
    static task<void> write_stream_piece(backend_exchange& exchange, bool unframed, std::string bytes);

    /// Returns true for one in four answers, which have neither a length nor chunks.
    bool draw_unframed() { return state_->random_framing() % 4 == 0; }

    std::shared_ptr<soak_state> state_;
    scripted_backend server_;
};

/// Returns the script of a server that answers an upload while it is being written: with a whole answer, or
/// with one that has no length and is reset on its way.
scripted_backend::script_type answering_uploads_early(std::shared_ptr<soak_state> state);

} // namespace eelgrassgw
