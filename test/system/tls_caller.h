#pragma once

/// A caller that speaks TLS, and a certificate to trust.

#include "eelgrassgw/transport/http_client.h"

#include <string>

namespace eelgrassgw::test {

/// Files of a self-signed certificate.
struct certificate_files {
    std::string certificate;
    std::string private_key;
};

/// Writes a new certificate for loopback into `directory`.
certificate_files write_certificate(const std::string& directory);

/// Sends `text` over TLS to `peer`, which must show `certificate`, and reads until it closes. Empty where the
/// handshake fails.
std::string exchange_over_tls(const endpoint& peer, const std::string& certificate, const std::string& text);

} // namespace eelgrassgw::test
