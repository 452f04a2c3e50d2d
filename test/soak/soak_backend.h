#pragma once

/// A backend server of the soak: serves plain requests and streams, fails at times, and notes what it ran.

#include "gateway/scripted_backend.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace eelgrassgw {

/// What all backend servers of one soak ran, and how often they fail.
struct soak_record {
    std::map<std::string, int> runs; ///< By the id of the caller's attempt.
    std::mt19937 random;
    bool calm = false; ///< No failures of their own any more.

    bool hits(unsigned percent) { return !calm && random() % 100 < percent; }
};

/// The answer of every server to a plain request.
inline std::string plain_answer(const std::string& id) {
    return "done " + id;
}

constexpr int soak_events = 20; ///< Of each stream.

inline std::string soak_event(const std::string& id, int n) {
    return "id: " + std::to_string(n) + "\ndata: " + id + " " + std::to_string(n) + "\n\n";
}

class soak_backend {
public:
    soak_backend(asio::io_context& context, const std::string& address, std::shared_ptr<soak_record> record);

    /// The server's id; requests for another id are declined.
    std::string id;

private:
    task<void> serve(backend_exchange& exchange);
    task<void> serve_stream(backend_exchange& exchange);

    std::shared_ptr<soak_record> record_;
    scripted_backend server_;
};

} // namespace eelgrassgw
