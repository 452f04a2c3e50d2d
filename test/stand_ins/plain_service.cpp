/// Stand-in for a plain service: bookings that may not be repeated, lookups that may. It counts its effects.

#include "eelgrassgw/base/json.h"
#include "test/stand_ins/stand_in.h"
#include "test/stand_ins/stand_in_answer.h"

#include <gflags/gflags.h>

#include <map>
#include <mutex>
#include <thread>

DEFINE_string(listen, "127.0.0.1:0", "address and port");
DEFINE_int32(call_ms, 5, "time that a call takes, before and again after its effect");

namespace eelgrassgw::stand_in {

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
            show_effects(exchange);
        } else {
            exchange.send({404, {}, ""});
        }
    }

private:
    void book(const http_request& request, http_exchange& exchange) {
        std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_call_ms));
        int number = 0;
        {
            const std::lock_guard lock(mutex_);
            effect& found = effects_[request.header("idempotency-key")];
            found.count++;
            found.first_at_ms = std::min(found.first_at_ms, now_ms());
            number = ++bookings_;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_call_ms));
        Json::Value reply;
        reply["booking"] = number;
        reply["key"] = request.header("idempotency-key");
        exchange.send(json_response(200, reply));
    }

    void show_effects(http_exchange& exchange) {
        const std::lock_guard lock(mutex_);
        Json::Value all(Json::objectValue);
        for (const auto& [key, found] : effects_) {
            all[key]["count"] = found.count;
            all[key]["first_at_ms"] = Json::Int64(found.first_at_ms);
        }
        exchange.send(json_response(200, all));
    }

    std::mutex mutex_;
    struct effect {
        int count = 0;
        std::int64_t first_at_ms = INT64_MAX;
    };

    std::map<std::string, effect> effects_;
    int bookings_ = 0;
};

} // namespace eelgrassgw::stand_in

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    eelgrassgw::stand_in::plain_service service;
    return eelgrassgw::stand_in::serve(
        FLAGS_listen, [&](const auto& request, auto& exchange) { service.handle(request, exchange); });
}
