#include "soak_backend.h"

namespace eelgrassgw {

using namespace std::chrono_literals;

soak_backend::soak_backend(asio::io_context& context, const std::string& address,
                           std::shared_ptr<soak_record> record)
    : record_(std::move(record)),
      server_(context, address, [this](backend_exchange& e) -> task<void> { return serve(e); }) {}

task<void> soak_backend::serve(backend_exchange& exchange) {
    const std::string own = exchange.header("Attempt-Id");
    if (exchange.header("Expect-Instance") != id) {
        co_await exchange.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        co_return;
    }
    if (record_->hits(4)) {
        co_await exchange.decline();
        co_return;
    }
    ++record_->runs[own];
    co_await sleep_for(std::chrono::milliseconds(2 + record_->random() % 25));
    if (record_->hits(4)) {
        exchange.break_off(record_->hits(50));
        co_return;
    }
    if (!exchange.header("Token-Counts").empty()) {
        co_await serve_stream(exchange);
        co_return;
    }
    co_await exchange.answer(200, plain_answer(own));
}

task<void> soak_backend::serve_stream(backend_exchange& exchange) {
    const std::string own = exchange.header("Attempt-Id");
    const std::string resumed = exchange.header("Last-Event-Id");
    co_await exchange.start_stream();
    for (int n = resumed.empty() ? 1 : std::stoi(resumed) + 1; n <= soak_events; ++n) {
        const std::string event = soak_event(own, n);
        if (record_->hits(1)) {
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
