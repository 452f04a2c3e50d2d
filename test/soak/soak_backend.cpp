#include "soak_backend.h"

namespace eelgrassgw {

using namespace std::chrono_literals;

soak_backend::soak_backend(asio::io_context& context, const std::string& address,
                           std::shared_ptr<soak_state> state)
    : state_(std::move(state)),
      server_(context, address, [this](backend_exchange& e) -> task<void> { return serve(e); }) {}

task<void> soak_backend::serve(backend_exchange& exchange) {
    const std::string attempt_id = exchange.header("Attempt-Id");
    if (exchange.header("Expect-Instance") != id) {
        co_await exchange.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        co_return;
    }
    if (state_->draw_failure(4)) {
        co_await exchange.decline();
        co_return;
    }
    ++state_->runs[attempt_id];
    co_await sleep_for(std::chrono::milliseconds(2 + state_->random() % 25));
    if (state_->draw_failure(4)) {
        exchange.break_off(state_->draw_failure(50));
        co_return;
    }
    if (!exchange.header("Token-Counts").empty()) {
        co_await serve_stream(exchange);
        co_return;
    }
    co_await exchange.answer(200, make_plain_answer(attempt_id));
}

task<void> soak_backend::serve_stream(backend_exchange& exchange) {
    const std::string attempt_id = exchange.header("Attempt-Id");
    const std::string last_event_id = exchange.header("Last-Event-Id");
    co_await exchange.start_stream();
    for (int number = last_event_id.empty() ? 1 : std::stoi(last_event_id) + 1; number <= events_per_stream;
         ++number) {
        const std::string event = make_stream_event(attempt_id, number);
        if (state_->draw_failure(1)) {
            co_await exchange.piece(event.substr(0, event.size() / 2));
            exchange.break_off(true);
            co_return;
        }
        co_await exchange.piece(event);
        co_await sleep_for(10ms);
    }
    co_await exchange.end();
}

} // namespace eelgrassgw
