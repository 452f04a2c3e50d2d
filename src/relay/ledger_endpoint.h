#pragma once

/// Handles the HTTP requests to the budget ledger that routers send to a relay.

#include "budgets/ledger_writer.h"
#include "net/http_service.h"
#include "relay/relay_protocol.h"
#include "store/store_paths.h"

#include <string>

namespace eelgrassgw {

/// Batches the requests of all routers into few writes to the store. Not thread-safe.
template <ledger_store Store>
class ledger_endpoint {
public:
    /// Constructs an endpoint that writes to the store at the address `store` (IP:port).
    ledger_endpoint(asio::io_context& context, const std::string& store, const event_sink_function& log)
        : pool_(context), paths_(pool_, store, log), writer_(context, Store(paths_), log) {}

    /// Returns the HTTP handler for ledger requests. It replies 200 if the request was applied or refused,
    /// 202 if the store has not answered yet, 400 if the request cannot be parsed, and 504 if the outcome is
    /// unknown. Precondition: this object outlives the handler's tasks.
    http_service::handler handler() {
        return [this](text_request request) {
            return handle_request(std::move(request));
        };
    }

private:
    task<text_reply> handle_request(text_request request) {
        const result<Json::Value> document = parse_json(request.body());
        const result<ledger_request> parsed =
            document ? parse_ledger_request(document.value()) : result<ledger_request>(document.error());
        if (!parsed) {
            co_return make_reply(http::status::bad_request, "text/plain", parsed.error().text());
        }
        const ledger_outcome outcome = co_await writer_.submit(parsed.value());
        co_return make_reply(choose_status(outcome), "application/json", to_text(to_json(outcome)));
    }

    static http::status choose_status(const ledger_outcome& outcome) {
        if (outcome.status != ledger_outcome::status_kind::unknown) {
            return http::status::ok;
        }
        return outcome.still_trying ? http::status::accepted : http::status::gateway_timeout;
    }

    connection_pool pool_;
    store_paths paths_;
    ledger_writer<Store> writer_;
};

} // namespace eelgrassgw
