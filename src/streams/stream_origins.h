#pragma once

/// Tells relays where this router's streams began, and finds out where others did.

#include "net/notice_channel.h"
#include "net/notification.h"
#include "streams/origin_memory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassgw {

/// The outcome of a search for a stream's origin.
struct origin_lookup {
    std::optional<origin_record> record; ///< Absent if nobody that answered knows the stream.
    std::string source;                  ///< "this router", or the address of the relay that knew it.
    std::size_t asked = 0;               ///< Number of relays that were asked.
    std::size_t silent = 0;              ///< Number of those that did not answer in time.
};

/// A relay is told of each stream before its first event goes to the caller, so that routers which come
/// after the death of all present ones can ask. Two relays are told, the first in rendezvous order of the
/// stream; when the relays change while the stream goes on, so does who is told. More are asked, since they
/// may have changed meanwhile. A notice that is lost costs the take-up of its stream, never a wrong version.
/// Not thread-safe.
class stream_origins {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    static constexpr std::size_t max_told_relays = 2;
    static constexpr std::size_t max_asked_relays = 6;
    /// Time after which relays that have not answered are asked once more.
    static constexpr milliseconds repeat_time{80};
    /// Longest wait for answers.
    static constexpr milliseconds answer_timeout{250};
    /// Time for which relays are told of a stream that was broken off when they change.
    static constexpr std::chrono::seconds broken_stream_time{30};

    /// `own_address` is the address at which this router receives notices. Precondition: `channel` outlives
    /// this object.
    stream_origins(asio::io_context& context, notice_channel& channel, std::string own_address);

    /// Replaces the relays (IP:port). Those beside servers that leave are told only if there are no others.
    void set_relays(const std::vector<std::string>& staying, const std::vector<std::string>& leaving);

    /// Tells where a stream began, or that it goes on. To be called before its first event goes to the
    /// caller.
    void note_event(const std::string& stream, const stream_origin& origin);

    /// Forgets a stream that has reached its caller whole.
    void note_whole(const std::string& stream);

    /// Finds out where a stream began. Precondition: this object outlives the task.
    task<origin_lookup> find(std::string stream);

private:
    /// A relay with the hash that its rank depends on.
    struct ranked_relay {
        std::string address;
        std::uint64_t hash = 0;
        bool leaving = false;
    };
    /// A stream of this router that has not reached its caller whole.
    struct told_stream {
        clock::time_point noted_at{};         ///< When it last began to bring events.
        std::vector<std::string> told_relays; ///< Relays that were told of it since.
    };
    /// A question that waits for answers.
    struct open_question {
        explicit open_question(const asio::any_io_executor& executor) : answered(executor) {}
        std::set<std::string> silent_relays;
        std::optional<origin_record> record;
        std::string source;
        notification answered;
    };

    std::vector<std::string> rank(const std::string& stream, std::size_t n, bool prefer_staying) const;
    void tell(const std::string& stream, told_stream& told, const stream_origin& origin);
    void tell_changed_relays();
    void forget_broken_streams(clock::time_point now);
    void ask(const origin_question& question, const std::set<std::string>& relays);
    result<done> handle_answer(const Json::Value& notice);

    asio::io_context& context_;
    notice_channel& channel_;
    std::string own_address_;
    std::vector<ranked_relay> relays_;
    origin_memory memory_;
    std::unordered_map<std::string, told_stream> streams_; ///< Streams of this router by their ids.
    clock::time_point purged_at_{};                        ///< When broken streams were last forgotten.
    std::map<std::uint64_t, std::shared_ptr<open_question>> questions_;
    std::uint64_t next_question_ = 0;
};

} // namespace eelgrassgw
