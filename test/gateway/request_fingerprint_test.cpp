/// Tests by what a request is recognised when it comes again.

#include "quarantine/request_fingerprint.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

const request_identity lookup{"GET", "a.example", "/read/1", "acme", "body", ""};

TEST(request_fingerprint, repetition_has_the_same_fingerprint) {
    EXPECT_EQ(fingerprints_of(lookup), fingerprints_of(lookup));
    EXPECT_EQ(1U, fingerprints_of(lookup).size());
}

TEST(request_fingerprint, request_that_differs_in_anything_has_another_fingerprint) {
    for (const request_identity& other :
         {request_identity{"POST", "a.example", "/read/1", "acme", "body", ""},
          request_identity{"GET", "b.example", "/read/1", "acme", "body", ""},
          request_identity{"GET", "a.example", "/read/2", "acme", "body", ""},
          request_identity{"GET", "a.example", "/read/1", "other", "body", ""},
          request_identity{"GET", "a.example", "/read/1", "acme", "text", ""},
          request_identity{"GET", "a.example", "/read/1", "acmebody", "", ""}}) {
        EXPECT_NE(fingerprints_of(lookup), fingerprints_of(other));
    }
}

TEST(request_fingerprint, details_make_a_second_fingerprint) {
    request_identity asked = lookup;
    asked.details = "?q=1";
    const auto fingerprints = fingerprints_of(asked);
    ASSERT_EQ(2U, fingerprints.size());
    EXPECT_EQ(fingerprints_of(lookup).front(), fingerprints.front());
    EXPECT_EQ(fingerprints.front(), request_of(fingerprints.back()));
    asked.details = "?q=2";
    EXPECT_EQ(fingerprints.front(), fingerprints_of(asked).front());
    EXPECT_NE(fingerprints.back(), fingerprints_of(asked).back());
}

TEST(request_fingerprint, prompt_part_is_no_fingerprint) {
    EXPECT_TRUE(is_fingerprint(fingerprints_of(lookup).front()));
    EXPECT_FALSE(is_fingerprint("5c1e07a2"));
}

} // namespace
} // namespace eelgrassgw
