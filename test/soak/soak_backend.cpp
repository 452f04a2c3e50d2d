#include "soak_backend.h"

#include <array>
#include <utility>

namespace eelgrassgw {

using namespace std::chrono_literals;

namespace {

/// Share of the events, in percent, at which a server breaks its stream off.
constexpr unsigned event_failure_percent = 1;
/// The same for the first event of an answer. Half of these answers have no byte of it.
constexpr unsigned first_event_failure_percent = 4;

} // namespace

soak_backend::soak_backend(asio::io_context& context, const std::string& address,
                           std::shared_ptr<soak_state> state)
    : state_(std::move(state)),
      server_(context, address, [this](backend_exchange& e) -> task<void> { return serve(e); }) {}

task<void> soak_backend::serve(backend_exchange& exchange) {
    const std::string attempt_id = exchange.header("Attempt-Id");
    co_await write_stray_refusals(exchange);
    if (exchange.header("Expect-Instance") != id) {
        co_await refuse(exchange, "421 Misdirected Request\r\n");
        co_return;
    }
    if (state_->limits.contains(id)) {
        state_->limited_arrivals[id].push_back(std::chrono::steady_clock::now());
    }
    if (state_->draw_failure(4)) {
        co_await refuse(exchange, "503 Service Unavailable\r\nNot-Executed: 1\r\n" + limit_line());
        co_return;
    }
    ++state_->runs[attempt_id];
    if (exchange.request().target() == deadly_path) {
        ++state_->crashes_by_request;
        crash();
        exchange.break_off(true);
        co_return;
    }
    co_await sleep_for(std::chrono::milliseconds(2 + state_->random() % 25));
    if (state_->draw_failure(4)) {
        exchange.break_off(state_->draw_failure(50));
        co_return;
    }
    if (state_->draw_odd_answer()) {
        co_await write_odd_answer(exchange);
        co_return;
    }
    if (!exchange.header("Token-Counts").empty()) {
        co_await serve_stream(exchange);
        co_return;
    }
    co_await answer_plain_request(exchange);
}

/// Refuses the request; `refusal` holds the status and header lines. The connection keeps the answer in mind.
task<void> soak_backend::refuse(backend_exchange& exchange, const std::string& refusal) {
    exchange.connection_note() = "HTTP/1.1 " + refusal + "Attempt-Id: " + exchange.header("Attempt-Id") +
                                 "\r\nContent-Length: 0\r\n\r\n";
    co_await exchange.write(exchange.connection_note());
}

/// Writes refusals that do not belong to this send of the request, as a faulty server does at times.
task<void> soak_backend::write_stray_refusals(backend_exchange& exchange) {
    const bool has_refused = !exchange.connection_note().empty();
    if (has_refused && state_->draw_repeated_refusal()) {
        co_await exchange.write(std::exchange(exchange.connection_note(), ""));
    }
    const bool is_first = exchange.is_first_on_connection();
    if (is_first ? state_->draw_unsolicited_refusal() : state_->draw_late_refusal()) {
        co_await exchange.write(make_late_refusal());
    }
}

/// Writes an answer that is none in the protocol, or bytes without end. The body is not one of a server.
task<void> soak_backend::write_odd_answer(backend_exchange& exchange) {
    const std::string lines = "Attempt-Id: " + exchange.header("Attempt-Id") + "\r\nResponse-Seal: seal\r\n";
    const std::string body = "Content-Length: 3\r\n\r\nodd";
    const std::array answers = {"HTTP/1.1 000 Status\r\n" + lines + body,
                                "HTTP/1.1 099 Status\r\n" + lines + body,
                                "HTTP/1.1 999 Status\r\n" + lines + body,
                                "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + lines + body,
                                "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n" + lines + body,
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + lines + body,
                                "HTTP/1.1 200 OK\r\n" + lines + "X-Endless: ",
                                "HTTP/1.1 500 Failed\r\n" + lines + "\r\n"};
    const std::size_t choice = state_->random_odd_answers() % answers.size();
    co_await exchange.write(answers.at(choice));
    constexpr std::size_t first_endless = 6;
    constexpr int max_fillers = 500;
    for (int i = 0; choice >= first_endless && i < max_fillers; ++i) {
        if (!co_await exchange.try_write(std::string(8000, 'x'))) {
            break;
        }
    }
    if (state_->random_odd_answers() % 2 == 0) { // Otherwise the connection stays open.
        exchange.break_off(state_->random_odd_answers() % 2 == 0);
    }
}

/// Returns a refusal that names no request, as a faulty server writes it once more on a kept connection.
std::string soak_backend::make_late_refusal() {
    constexpr std::array refusals = {"503 Service Unavailable\r\nNot-Executed: 1",
                                     "421 Misdirected Request\r\nInstance-Id: other",
                                     "408 Request Timeout\r\nConnection: keep-alive"};
    const std::string refusal = refusals.at(state_->random_framing() % refusals.size());
    return "HTTP/1.1 " + refusal + "\r\nContent-Length: 0\r\n\r\n";
}

/// Returns the header line with the limit that the server names; empty if it names none.
std::string soak_backend::limit_line() const {
    const auto it = state_->limits.find(id);
    return it == state_->limits.end() ? "" : "Server-Limit: " + std::to_string(it->second) + "\r\n";
}

std::string soak_backend::make_head(const backend_exchange& exchange, int status) const {
    return exchange.genuine_head(status) + limit_line();
}

task<void> soak_backend::answer(backend_exchange& exchange, int status, std::string body) const {
    co_await exchange.write(make_head(exchange, status) + "Content-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body);
}

task<void> soak_backend::answer_plain_request(backend_exchange& exchange) {
    const std::string body = make_plain_answer(exchange.header("Attempt-Id"));
    if (!draw_unframed()) {
        co_await answer(exchange, 200, body);
        co_return;
    }
    co_await exchange.write(make_head(exchange, 200) + "Connection: close\r\n\r\n" + body);
    exchange.break_off(false);
}

task<void> soak_backend::write_stream_piece(backend_exchange& exchange, bool unframed, std::string bytes) {
    if (unframed) {
        co_await exchange.write(std::move(bytes));
    } else {
        co_await exchange.piece(std::move(bytes));
    }
}

task<void> soak_backend::serve_stream(backend_exchange& exchange) {
    const std::string attempt_id = exchange.header("Attempt-Id");
    const std::string last_event_id = exchange.header("Last-Event-Id");
    const std::string own_version = version; // Another server may take this one's place meanwhile.
    const bool unframed = draw_unframed();
    if (!last_event_id.empty() && state_->draw_error_after_break()) {
        co_await answer(exchange, 500, "data: the server failed\n\n");
        co_return;
    }
    if (unframed) {
        co_await exchange.write(make_head(exchange, 200) + "Connection: close\r\n\r\n");
    } else {
        co_await exchange.write(make_head(exchange, 200) +
                                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    if (exchange.header("Prompt-Prefix").find(deadly_part) != std::string::npos) {
        ++state_->crashes;
        crash();
        exchange.break_off(true);
        co_return;
    }
    const int first_number = last_event_id.empty() ? 1 : std::stoi(last_event_id) + 1;
    for (int number = first_number; number <= events_per_stream; ++number) {
        const std::string event = make_stream_event(attempt_id, number, own_version);
        const bool is_first = number == first_number;
        if (state_->draw_failure(is_first ? first_event_failure_percent : event_failure_percent)) {
            const bool sends_half = !is_first || state_->draw_failure(50);
            if (sends_half) {
                co_await write_stream_piece(exchange, unframed, event.substr(0, event.size() / 2));
            }
            exchange.break_off(!unframed);
            co_return;
        }
        co_await write_stream_piece(exchange, unframed, event);
        co_await sleep_for(state_->event_pause);
    }
    if (unframed) {
        exchange.break_off(false);
    } else {
        co_await exchange.end();
    }
}

scripted_backend::script_type answering_uploads_early(std::shared_ptr<soak_state> state) {
    return [state](backend_exchange& exchange) -> task<void> {
        const std::string id = exchange.header("Attempt-Id");
        ++state->runs[id];
        const std::string body = make_plain_answer(id);
        if (state->random_odd_answers() % 2 == 0) {
            co_await exchange.answer(200, body);
            co_await sleep_for(200ms);
            co_return;
        }
        co_await exchange.write(exchange.genuine_head(200) + "\r\n" + body.substr(0, body.size() / 2));
        co_await sleep_for(20ms);
        exchange.break_off(true);
    };
}

} // namespace eelgrassgw
