#include "test/system/tls_caller.h"

#include <openssl/bio.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <array>
#include <cstdio>
#include <memory>

namespace eelgrassgw::test {

namespace {

constexpr unsigned key_bits = 2048;
constexpr long validity_s = 86400;

template <class Write>
void write_file(const std::string& name, Write write) {
    std::FILE* file = std::fopen(name.c_str(), "w");
    if (file != nullptr) {
        write(file);
        std::fclose(file);
    }
}

} // namespace

certificate_files write_certificate(const std::string& directory) {
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_RSA_gen(key_bits), &EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), &X509_free);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -validity_s);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), validity_s);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME* name = X509_get_subject_name(certificate.get());
    const std::string common_name = "eelgrassgw test";
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(common_name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    certificate_files files{directory + "/certificate.pem", directory + "/private_key.pem"};
    write_file(files.certificate, [&](std::FILE* file) { PEM_write_X509(file, certificate.get()); });
    write_file(files.private_key, [&](std::FILE* file) {
        PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
    return files;
}

std::string exchange_over_tls(const endpoint& peer, const std::string& certificate, const std::string& text) {
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(SSL_CTX_new(TLS_client_method()),
                                                                    &SSL_CTX_free);
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER, nullptr);
    SSL_CTX_load_verify_locations(context.get(), certificate.c_str(), nullptr);
    const std::unique_ptr<BIO, decltype(&BIO_free_all)> connection(BIO_new_ssl_connect(context.get()),
                                                                   &BIO_free_all);
    BIO_set_conn_hostname(connection.get(), peer.text().c_str());
    if (BIO_do_connect(connection.get()) <= 0) {
        return {};
    }
    BIO_write(connection.get(), text.data(), static_cast<int>(text.size()));
    std::string reply;
    std::array<char, 4096> buf{};
    for (int n = 1; n > 0;) {
        n = BIO_read(connection.get(), buf.data(), static_cast<int>(buf.size()));
        reply.append(buf.data(), static_cast<std::size_t>(n > 0 ? n : 0));
    }
    return reply;
}

} // namespace eelgrassgw::test
