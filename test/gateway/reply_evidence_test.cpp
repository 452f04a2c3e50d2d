/// Tests which replies of a backend server prove that a request was not run.

#include "gateway/reply_evidence.h"

#include <gtest/gtest.h>

#include <array>

namespace eelgrassgw {
namespace {

constexpr std::array histories = {connection_history::first_request, connection_history::reused};

reply_evidence make_evidence(unsigned status, reply_subject subject, bool states_not_run) {
    reply_evidence evidence;
    evidence.status = status;
    evidence.subject = subject;
    evidence.states_not_run = states_not_run;
    evidence.is_genuine = true;
    return evidence;
}

TEST(reply_evidence_test, refusal_that_names_the_request_and_states_not_run_is_a_proof) {
    for (const unsigned status : {400U, 429U, 503U}) {
        for (const connection_history history : histories) {
            EXPECT_EQ(answer_kind::not_run,
                      judge_reply(make_evidence(status, reply_subject::this_request, true), history))
                << status;
        }
    }
}

TEST(reply_evidence_test, only_a_reply_that_names_the_request_is_a_proof) {
    for (unsigned status = 200; status < 600; ++status) {
        for (const reply_subject subject : {reply_subject::unnamed, reply_subject::another_request}) {
            for (const connection_history history : histories) {
                EXPECT_FALSE(proves_not_run(judge_reply(make_evidence(status, subject, true), history)))
                    << status << " " << name_of(subject);
            }
        }
    }
}

TEST(reply_evidence_test, no_status_but_421_is_a_proof_by_itself) {
    for (unsigned status = 200; status < 600; ++status) {
        for (const connection_history history : histories) {
            const answer_kind kind =
                judge_reply(make_evidence(status, reply_subject::this_request, false), history);
            EXPECT_EQ(status == 421, proves_not_run(kind)) << status;
        }
    }
}

TEST(reply_evidence_test, refusal_without_a_proof_must_not_reach_the_caller) {
    for (const unsigned status : {408U, 429U, 503U}) {
        EXPECT_EQ(answer_kind::invalid, judge_reply(make_evidence(status, reply_subject::this_request, false),
                                                    connection_history::first_request));
        EXPECT_EQ(answer_kind::invalid, judge_reply(make_evidence(status, reply_subject::unnamed, false),
                                                    connection_history::first_request));
    }
}

TEST(reply_evidence_test, reply_that_contradicts_itself_is_no_proof) {
    reply_evidence right_server = make_evidence(421, reply_subject::this_request, false);
    right_server.names_intended_server = true;
    EXPECT_EQ(answer_kind::invalid, judge_reply(right_server, connection_history::first_request));
    for (const unsigned status : {200U, 408U, 500U, 504U}) {
        const answer_kind kind =
            judge_reply(make_evidence(status, reply_subject::this_request, true), connection_history::reused);
        EXPECT_FALSE(proves_not_run(kind)) << status;
        EXPECT_NE(answer_kind::success, kind);
    }
}

TEST(reply_evidence_test, unnamed_failure_on_a_kept_connection_may_belong_to_an_earlier_request) {
    const reply_evidence late = make_evidence(503, reply_subject::unnamed, true);
    EXPECT_EQ(answer_kind::other_request, judge_reply(late, connection_history::reused));
    EXPECT_EQ(answer_kind::invalid, judge_reply(late, connection_history::first_request));
}

TEST(reply_evidence_test, success_must_name_the_request_and_be_genuine) {
    reply_evidence success = make_evidence(200, reply_subject::this_request, false);
    EXPECT_EQ(answer_kind::success, judge_reply(success, connection_history::reused));
    success.is_genuine = false;
    EXPECT_EQ(answer_kind::invalid, judge_reply(success, connection_history::reused));
    EXPECT_EQ(answer_kind::invalid, judge_reply(make_evidence(200, reply_subject::unnamed, false),
                                                connection_history::first_request));
}

} // namespace
} // namespace eelgrassgw
