/// Stand-in for a plain service that offers bookings, which must not be repeated, and idempotent lookups. It
/// counts the effects of bookings by idempotency key, so that tests can detect repeated ones.

#include "eelgrassgw/base/json.h"
#include "test/stand_ins/stand_in.h"
#include "test/stand_ins/stand_in_answer.h"

#include <gflags/gflags.h>

#include <map>
#include <mutex>
#include <thread>

DEFINE_string(listen, "127.0.0.1:0", "address and port");
DEFINE_int32(call_ms, 5, "time in ms that a booking takes before its effect, and again after it");

namespace eelgrassgw::stand_in {

/// Handles bookings and lookups, and reports the effects of the bookings.
class plain_service {
public:
    void handle(const http_request& request, http_exchange& exchange) {
        if (request.path == "/book") {
            book(request, exchange);
        } else if (request.path == "/position") {
            Json::Value reply;
            reply["lot"] = request.parameter("lot");
            reply["warehouse"] = "Apapa";
            exchange.send(json_response(200, reply));
        } else if (request.path == "/effects") {
            send_effects(exchange);
        } else {
            exchange.send({404, {}, ""});
        }
    }

private:
    /// Adds a booking, even if the idempotency key has been used before.
    void book(const http_request& request, http_exchange& exchange) {
        std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_call_ms));
        int number = 0;
        {
            const std::lock_guard lock(mutex_);
            effect& recorded = effects_[request.header("idempotency-key")];
            recorded.count++;
            recorded.first_at_ms = std::min(recorded.first_at_ms, now_ms());
            number = ++bookings_;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_call_ms));
        Json::Value reply;
        reply["booking"] = number;
        reply["key"] = request.header("idempotency-key");
        exchange.send(json_response(200, reply));
    }

    /// Sends the number and first time of the bookings, by idempotency key.
    void send_effects(http_exchange& exchange) {
        const std::lock_guard lock(mutex_);
        Json::Value all(Json::objectValue);
        for (const auto& [key, recorded] : effects_) {
            all[key]["count"] = recorded.count;
            all[key]["first_at_ms"] = Json::Int64(recorded.first_at_ms);
        }
        exchange.send(json_response(200, all));
    }

    std::mutex mutex_;

    /// The bookings made under one idempotency key.
    struct effect {
        int count = 0;                        ///< Number of bookings.
        std::int64_t first_at_ms = INT64_MAX; ///< Time of the first booking, in ms by the system clock.
    };

    std::map<std::string, effect> effects_; ///< Effects by idempotency key.
    int bookings_ = 0;                      ///< Number of all bookings.
};

} // namespace eelgrassgw::stand_in

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    eelgrassgw::stand_in::plain_service service;
    return eelgrassgw::stand_in::serve(
        FLAGS_listen, [&](const auto& request, auto& exchange) { service.handle(request, exchange); });
}
