#include "net/metrics_service.h"

#include "net/http_service.h"

namespace eelgrassgw {

result<done> serve_metrics(asio::io_context& context, const std::string& address,
                           const metrics_registry& metrics, intake_guard* intake) {
    const auto serve = [&metrics](text_request request) -> task<text_reply> {
        const bool is_metrics_path = request.target() == metrics_path;
        co_return make_reply(is_metrics_path ? http::status::ok : http::status::not_found,
                             "text/plain; version=0.0.4", is_metrics_path ? metrics.text() : "");
    };
    return http_service::start(context, address, serve, intake);
}

} // namespace eelgrassgw
