#include "net/metrics_service.h"

#include "net/http_service.h"

namespace eelgrassgw {

result<done> serve_metrics(asio::io_context& context, const std::string& address,
                           const metrics_registry& metrics) {
    return http_service::start(context, address, [&metrics](text_request request) -> task<text_reply> {
        const bool known = request.target() == metrics_path;
        co_return make_reply(known ? http::status::ok : http::status::not_found, "text/plain; version=0.0.4",
                             known ? metrics.text() : "");
    });
}

} // namespace eelgrassgw
