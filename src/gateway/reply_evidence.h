#pragma once

/// What the head of a backend server's reply says about the request that was sent.

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

} // namespace eelgrassgw
