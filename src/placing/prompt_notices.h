#pragma once

/// Routers tell one another which servers are about to read long prompts.

#include "backends/backend_directory.h"
#include "eelgrassgw/base/failure.h"
#include "net/task.h"

#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Datagrams: a lost one costs a worse placing and nothing else. Load answered: one prompt of tens of
/// thousands of tokens holds up all requests that other routers send to the same server for a second. Not
/// thread-safe.
class prompt_notices {
public:
    using clock = tracked_backend::clock;

    static constexpr std::int64_t worth_telling = 4000;            ///< Tokens; shorter prompts delay nobody.
    static constexpr std::chrono::milliseconds longest_read{2500}; ///< After that a notice is forgotten.
    static constexpr std::size_t most_peers = 64;                  ///< Told of each long prompt.

    /// `router` names this process to the others. Precondition: `directory` outlives this object.
    prompt_notices(asio::io_context& context, backend_directory& directory, std::string router);

    /// Starts to listen on `address` (IP:port).
    result<done> start(const std::string& address);

    /// Who is told from now on (IP:port).
    void set_peers(const std::vector<std::string>& peers);

    /// Tells that `server` has a prompt of `tokens` to read. Returns the number under which to withdraw it.
    std::uint64_t announce(const std::string& server, std::int64_t tokens);

    /// Tells that the prompt has been read, or never will be.
    void withdraw(const std::string& server, std::uint64_t number);

    /// Takes a notice in. The failure names what is wrong with it.
    result<done> take(const std::string& datagram, clock::time_point now);

private:
    task<void> receive();
    void tell(const std::string& server, std::uint64_t number, std::int64_t tokens);

    backend_directory& directory_;
    std::string router_;
    asio::ip::udp::socket socket_;
    std::vector<asio::ip::udp::endpoint> peers_;
    std::uint64_t number_ = 0;
};

/// A prompt that a server has yet to read, counted while this object lives and until `note_read`.
class unread_prompt {
public:
    /// Precondition: `notices` outlives this object.
    unread_prompt(prompt_notices& notices, std::shared_ptr<tracked_backend> server, std::int64_t tokens);
    ~unread_prompt() { note_read(); }
    unread_prompt(const unread_prompt&) = delete;
    unread_prompt& operator=(const unread_prompt&) = delete;

    /// The server has read the prompt: its first event came.
    void note_read();

private:
    prompt_notices& notices_;
    std::shared_ptr<tracked_backend> server_;
    std::int64_t tokens_;
    std::optional<std::uint64_t> announced_;
};

} // namespace eelgrassgw
