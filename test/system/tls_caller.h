#pragma once

/// Creates a self-signed certificate and sends requests over TLS.

#include "eelgrassgw/transport/http_client.h"

#include <string>

namespace eelgrassgw::test {

/// Names the files of a self-signed certificate.
struct certificate_files {
    std::string certificate; ///< Path of the certificate in PEM format.
    std::string private_key; ///< Path of the private key in PEM format.
};

/// Writes a new certificate and its private key into `directory`.
certificate_files write_certificate(const std::string& directory);

/// Sends `text` over TLS to `peer`, whose certificate must match the file `certificate`. Returns everything
/// that the peer sends until it closes the connection, or an empty string if the handshake fails.
std::string exchange_over_tls(const endpoint& peer, const std::string& certificate, const std::string& text);

} // namespace eelgrassgw::test
