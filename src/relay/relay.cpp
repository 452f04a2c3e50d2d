#include "relay/relay.h"

#include "net/http_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>

namespace eelgrassgw {

namespace {

std::chrono::milliseconds limit_of(const text_request& request) {
    const auto text = request[relay_limit_header];
    std::int64_t ms = relay::default_limit.count();
    std::from_chars(text.data(), text.data() + text.size(), ms);
    return std::clamp(std::chrono::milliseconds(ms), std::chrono::milliseconds(1), relay::longest_limit);
}

/// Keeps what the store needs: method, target, body and its type.
text_request for_store(const text_request& request) {
    text_request out(request.method(), request.target(), 11);
    const auto type = request[http::field::content_type];
    if (!type.empty()) {
        out.set(http::field::content_type, type);
    }
    out.body() = request.body();
    return out;
}

} // namespace

relay::relay(asio::io_context& context, relay_settings settings, event_log& log, metrics_registry& metrics,
             http_service::handler serve_ledger)
    : context_(context), settings_(std::move(settings)), log_(log), metrics_(metrics),
      serve_ledger_(std::move(serve_ledger)), pool_(context) {}

result<done> relay::start() {
    const auto started = http_service::start(
        context_, settings_.listen, [this](text_request request) { return answer(std::move(request)); });
    if (started) {
        asio::co_spawn(context_, announce(), asio::detached);
    }
    return started;
}

task<text_reply> relay::answer(text_request request) {
    const bool to_ledger = request.method() == http::verb::post && request.target() == ledger_path;
    if (to_ledger) {
        metrics_.count("ledger_requests");
        co_return co_await serve_ledger_(std::move(request));
    }
    co_return co_await pass_on(std::move(request));
}

task<text_reply> relay::pass_on(text_request request) {
    if (in_progress_ >= most_calls_in_progress) {
        metrics_.count("relayed_calls", {{"outcome", "overloaded"}});
        co_return make_reply(http::status::service_unavailable, "text/plain", "too many calls in progress");
    }
    ++in_progress_;
    const call_timeouts limits{connect_limit, limit_of(request)};
    auto reply = co_await call_http(pool_, settings_.store, for_store(request), limits);
    --in_progress_;
    if (store_lost_ == reply.ok()) {
        store_lost_ = !reply.ok();
        Json::Value fields;
        fields["store"] = settings_.store;
        fields["error"] = reply ? "" : reply.error().text();
        log_.write(reply ? "store_regained" : "store_lost", std::move(fields));
    }
    metrics_.count("relayed_calls", {{"outcome", reply ? "answered" : "failed"}});
    if (!reply) {
        co_return make_reply(http::status::bad_gateway, "text/plain", reply.error().text());
    }
    const auto type = reply.value()[http::field::content_type];
    co_return make_reply(reply.value().result(), std::string(type), std::move(reply.value().body()));
}

/// A router that starts while it cannot reach the store learns of relays by this.
task<void> relay::announce() {
    for (;;) {
        for (const std::string& peer : settings_.peers) {
            text_request request(http::verb::post, relays_path, 11);
            request.body() = settings_.listen;
            const call_timeouts limits;
            const auto told = co_await call_http(pool_, peer, std::move(request), limits);
            metrics_.count("announcements", {{"outcome", told ? "answered" : "failed"}});
        }
        pool_.close_stale();
        co_await sleep_for(announce_interval);
    }
}

} // namespace eelgrassgw
