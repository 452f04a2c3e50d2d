#pragma once

/// Decides what the head of a backend server's reply proves about the request that was sent. Needs no
/// network.

namespace eelgrassgw {

/// The request that a reply names.
enum class reply_subject {
    this_request,    ///< The one that was sent.
    another_request, ///< Another one, so the reply belongs to an earlier request or to nobody.
    unnamed,         ///< None.
};

/// Returns the name of a subject in the log.
const char* name_of(reply_subject subject);

/// What the head of a reply says, as the adapter decodes it.
struct reply_evidence {
    unsigned status = 0; ///< HTTP status.
    reply_subject subject = reply_subject::unnamed;
    bool states_not_run = false;        ///< Whether it states that the request was not run.
    bool names_intended_server = false; ///< Whether it states that it comes from the server that was asked.
    bool is_genuine = false;            ///< Whether it is signed and its body is not encoded.
};

/// The requests that the connection of a reply has carried.
enum class connection_history {
    first_request, ///< Only the request that was sent.
    reused,        ///< Earlier ones too, whose replies may still arrive.
};

/// Classification of a backend server's reply by its head.
enum class answer_kind {
    success,       ///< A genuine answer to this request.
    failure,       ///< The server failed; it ran the request or may have run it.
    not_run,       ///< The server states that it did not run the request.
    wrong_server,  ///< Another server uses the address; it did not run the request.
    other_request, ///< The reply belongs to another request.
    invalid,       ///< The reply must not be forwarded to a caller, and proves nothing.
};

/// Returns whether a reply of this kind proves that the request was not run and never will be.
constexpr bool proves_not_run(answer_kind kind) {
    return kind == answer_kind::not_run || kind == answer_kind::wrong_server;
}

/// Classifies a reply. A refusal proves something only if it names the request, since a server repeats the id
/// of a request in each reply. Precondition: the connection carried the request once, so that the reply
/// cannot belong to an earlier send of it. Thread-safe.
answer_kind judge_reply(const reply_evidence& evidence, connection_history history);

} // namespace eelgrassgw
