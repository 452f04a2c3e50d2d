#include "relay/relay.h"

#include "net/http_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>

namespace eelgrassgw {

namespace {

std::chrono::milliseconds read_reply_timeout(const text_request& request) {
    const auto text = request[relay_timeout_header];
    std::int64_t ms = relay::default_reply_timeout.count();
    std::from_chars(text.data(), text.data() + text.size(), ms);
    return std::clamp(std::chrono::milliseconds(ms), std::chrono::milliseconds(1), relay::max_reply_timeout);
}

/// Copies the parts of a request that the store needs: its method, target, body and content type.
text_request make_store_request(const text_request& request) {
    text_request store_request(request.method(), request.target(), 11);
    const auto type = request[http::field::content_type];
    if (!type.empty()) {
        store_request.set(http::field::content_type, type);
    }
    store_request.body() = request.body();
    return store_request;
}

/// Returns the store's reply without the fields that concern a single connection.
text_reply without_connection_fields(text_reply reply) {
    for (const http::field each : {http::field::connection, http::field::keep_alive,
                                   http::field::transfer_encoding, http::field::content_length}) {
        reply.erase(each);
    }
    return reply;
}

} // namespace

relay::relay(asio::io_context& context, relay_settings settings, event_log& log, metrics_registry& metrics,
             http_service::handler serve_ledger, intake_guard* intake)
    : context_(context), settings_(std::move(settings)), log_(log), metrics_(metrics),
      serve_ledger_(std::move(serve_ledger)), intake_(intake), pool_(context),
      origin_keeper_(context, metrics) {}

result<done> relay::start() {
    const auto serve = [this](text_request request) {
        return handle_request(std::move(request));
    };
    result<done> started =
        http_service::start(context_, settings_.listen, serve, intake_, place_kind::caller);
    if (started) {
        started = origin_keeper_.start(settings_.listen);
    }
    if (started) {
        asio::co_spawn(context_, announce_to_peers(), asio::detached);
    }
    return started;
}

task<text_reply> relay::handle_request(text_request request) {
    const bool is_ledger_request = request.method() == http::verb::post && request.target() == ledger_path;
    if (is_ledger_request) {
        metrics_.count("ledger_requests");
        co_return co_await serve_ledger_(std::move(request));
    }
    co_return co_await forward_to_store(std::move(request));
}

task<text_reply> relay::forward_to_store(text_request request) {
    if (calls_in_progress_ >= max_calls_in_progress) {
        metrics_.count("relayed_calls", {{"outcome", "overloaded"}});
        co_return make_reply(http::status::service_unavailable, "text/plain", "too many calls in progress");
    }
    ++calls_in_progress_;
    const call_timeouts timeouts{connect_timeout, read_reply_timeout(request)};
    auto reply = co_await call_http(pool_, settings_.store, make_store_request(request), timeouts);
    --calls_in_progress_;
    if (store_unreachable_ == reply.ok()) {
        store_unreachable_ = !reply.ok();
        Json::Value fields;
        fields["store"] = settings_.store;
        fields["error"] = reply ? "" : reply.error().text();
        log_.write(reply ? "store_regained" : "store_lost", std::move(fields));
    }
    metrics_.count("relayed_calls", {{"outcome", reply ? "answered" : "failed"}});
    if (!reply) {
        co_return make_reply(http::status::bad_gateway, "text/plain", reply.error().text());
    }
    co_return without_connection_fields(std::move(reply.value()));
}

/// Sends this relay's address to all peers, so that a router that starts without access to the store finds a
/// relay.
task<void> relay::announce_to_peers() {
    for (;;) {
        for (const std::string& peer : settings_.peers) {
            text_request request(http::verb::post, relays_path, 11);
            request.body() = settings_.listen;
            const call_timeouts timeouts;
            const auto reply = co_await call_http(pool_, peer, std::move(request), timeouts);
            metrics_.count("announcements", {{"outcome", reply ? "answered" : "failed"}});
        }
        pool_.close_stale();
        co_await sleep_for(announce_interval);
    }
}

} // namespace eelgrassgw
