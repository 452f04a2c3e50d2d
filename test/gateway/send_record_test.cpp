/// Tests when the caller of a request may be told that it was not run.

#include "gateway/send_record.h"

#include "eelgrassgw/base/not_run_status.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

bool promises(refusal_reason reason) {
    return promises_not_run(static_cast<unsigned>(http_status_of(reason)));
}

constexpr int reason_count = static_cast<int>(refusal_reason::backend_failed) + 1;

TEST(send_record_test, request_that_was_never_sent_may_be_refused_for_any_reason) {
    const send_record record;
    for (int i = 0; i < reason_count; ++i) {
        EXPECT_EQ(refusal_reason(i), record.choose_reason(refusal_reason(i)));
    }
}

TEST(send_record_test, send_without_a_proof_withholds_each_promise) {
    send_record record;
    record.begin_send();
    for (int i = 0; i < reason_count; ++i) {
        EXPECT_FALSE(promises(record.choose_reason(refusal_reason(i)))) << name_of(refusal_reason(i));
    }
    EXPECT_EQ(refusal_reason::timeout, record.choose_reason(refusal_reason::caller_deadline));
}

TEST(send_record_test, reason_that_promises_nothing_is_kept) {
    send_record record;
    record.begin_send();
    EXPECT_EQ(refusal_reason::unknown_key, record.choose_reason(refusal_reason::unknown_key));
}

TEST(send_record_test, proof_of_one_send_says_nothing_about_another) {
    send_record record;
    record.begin_send();
    record.begin_send();
    record.prove_not_run();
    EXPECT_TRUE(record.may_have_run());
    EXPECT_EQ(refusal_reason::backend_failed, record.choose_reason(refusal_reason::overloaded));
}

TEST(send_record_test, request_whose_sends_are_all_proved_may_be_refused) {
    send_record record;
    for (int i = 0; i < 3; ++i) {
        record.begin_send();
        record.prove_not_run();
    }
    EXPECT_EQ(3, record.send_count());
    EXPECT_EQ(refusal_reason::overloaded, record.choose_reason(refusal_reason::overloaded));
}

TEST(send_record_test, earlier_attempt_of_the_caller_withholds_each_promise) {
    send_record record;
    record.note_earlier_attempt();
    for (int i = 0; i < reason_count; ++i) {
        EXPECT_FALSE(promises(record.choose_reason(refusal_reason(i)))) << name_of(refusal_reason(i));
    }
    EXPECT_EQ(refusal_reason::already_sent, record.choose_reason(refusal_reason::draining));
}

} // namespace
} // namespace eelgrassgw
