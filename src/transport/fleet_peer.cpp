#include "eelgrassgw/transport/fleet_peer.h"

#include "eelgrassgw/base/hash.h"

#include <stdexcept>

namespace eelgrassgw {

namespace {

const char* const signature_header = "x-eelgrass-signature";

std::string signature_of(const http_request& request, const std::string& fleet_key) {
    return hmac_sha256_hex(fleet_key,
                           request.method + "\n" + request.path + "\n" + request.query + "\n" + request.body);
}

} // namespace

const char* const rpc_path = "/rpc";

void sign_request(http_request& request, const std::string& fleet_key) {
    request.headers[signature_header] = signature_of(request, fleet_key);
}

bool has_valid_signature(const http_request& request, const std::string& fleet_key) {
    return equal_in_constant_time(request.header(signature_header), signature_of(request, fleet_key));
}

result<Json::Value> call_peer(const endpoint& peer, const std::string& fleet_key, const std::string& name,
                              const Json::Value& params, const http_timeouts& timeouts) {
    errc code = errc::refused;
    const rpc_transport transport = [&](const std::string& message) {
        http_request request;
        request.method = "POST";
        request.path = rpc_path;
        request.body = message;
        request.failpoint_name = "rpc_" + name;
        sign_request(request, fleet_key);
        const result<http_response> reply = call_http(peer, request, timeouts);
        if (!reply) {
            code = reply.failed_with(errc::unreachable) ? errc::unreachable : errc::outcome_unknown;
            throw std::runtime_error(reply.error().text());
        }
        if (reply.value().status != 200) {
            throw std::runtime_error("status " + std::to_string(reply.value().status));
        }
        return reply.value().body;
    };
    try {
        return call_rpc(transport, name, params);
    } catch (const std::exception& e) {
        return make_failure(code, "call " + name, peer.text(), e.what());
    }
}

} // namespace eelgrassgw
