#pragma once

/// How a relay takes requests to the budget ledger over HTTP.

#include "budgets/ledger_writer.h"
#include "net/http_service.h"
#include "relay/relay_protocol.h"
#include "store/store_paths.h"

#include <string>

namespace eelgrassgw {

/// Joins the requests of all routers into writes to the store. Not thread-safe.
template <ledger_store Store>
class ledger_endpoint {
public:
    /// `store` is the store's address.
    ledger_endpoint(asio::io_context& context, const std::string& store, const event_sink_function& log)
        : pool_(context), paths_(pool_, store, log), writer_(context, Store(paths_), log) {}

    /// Answers 200 with the outcome, 202 while the store has not answered, 400 where the request cannot be
    /// read, and 503 where the outcome is unknown. Precondition: this object outlives the handler's tasks.
    http_service::handler handler() {
        return [this](text_request request) {
            return answer(std::move(request));
        };
    }

private:
    task<text_reply> answer(text_request request) {
        const result<Json::Value> document = parse_json(request.body());
        const result<ledger_request> asked =
            document ? parse_ledger_request(document.value()) : result<ledger_request>(document.error());
        if (!asked) {
            co_return make_reply(http::status::bad_request, "text/plain", asked.error().text());
        }
        const ledger_outcome outcome = co_await writer_.submit(asked.value());
        co_return make_reply(status_of(outcome), "application/json", to_text(to_json(outcome)));
    }

    static http::status status_of(const ledger_outcome& outcome) {
        if (outcome.status != ledger_outcome::kind::unknown) {
            return http::status::ok;
        }
        return outcome.still_trying ? http::status::accepted : http::status::service_unavailable;
    }

    connection_pool pool_;
    store_paths paths_;
    ledger_writer<Store> writer_;
};

} // namespace eelgrassgw
