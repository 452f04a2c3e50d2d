#include "net/address.h"

#include <charconv>

namespace eelgrassgw {

result<tcp::endpoint> parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            port = 0;
        }
    }
    net_error ec;
    const auto ip = asio::ip::make_address(text.substr(0, colon), ec);
    if (ec || port == 0) {
        return make_failure(errc::malformed, "parse address", "", "\"" + text + "\" is not IP:port");
    }
    return tcp::endpoint(ip, port);
}

std::string extract_host(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

std::string make_address(const std::string& host, std::uint16_t port) {
    return host + ":" + std::to_string(port);
}

} // namespace eelgrassgw
