#include "eelgrassgw/base/failure.h"

namespace eelgrassgw {

namespace {

class eelgrassgw_category final : public std::error_category {
public:
    const char* name() const noexcept override { return "eelgrassgw"; }

    std::string message(int code) const override {
        switch (static_cast<errc>(code)) {
        case errc::unreachable:
            return "unreachable";
        case errc::outcome_unknown:
            return "outcome_unknown";
        case errc::version_conflict:
            return "version_conflict";
        case errc::malformed:
            return "malformed";
        case errc::not_found:
            return "not_found";
        case errc::refused:
            return "refused";
        case errc::fenced:
            return "fenced";
        case errc::budget_exhausted:
            return "budget_exhausted";
        case errc::budget_unreachable:
            return "budget_unreachable";
        case errc::invalid_configuration:
            return "invalid_configuration";
        case errc::unauthenticated:
            return "unauthenticated";
        case errc::draining:
            return "draining";
        case errc::broken_stream:
            return "broken_stream";
        case errc::deadline_exceeded:
            return "deadline_exceeded";
        case errc::key_reused:
            return "key_reused";
        case errc::ran_before:
            return "ran_before";
        case errc::rebuilding:
            return "rebuilding";
        case errc::overloaded:
            return "overloaded";
        case errc::reply_too_large:
            return "reply_too_large";
        }
        return "unknown error";
    }
};

} // namespace

std::error_code make_error_code(errc e) noexcept {
    static const eelgrassgw_category category;
    return {static_cast<int>(e), category};
}

std::string failure::text() const {
    std::string line = step + ": " + message;
    if (!peer.empty()) {
        line += " (peer " + peer + ")";
    }
    return line + " [" + code.message() + "]";
}

failure make_failure(errc code, std::string step, std::string peer, std::string message) {
    return {make_error_code(code), std::move(step), std::move(peer), std::move(message)};
}

} // namespace eelgrassgw
