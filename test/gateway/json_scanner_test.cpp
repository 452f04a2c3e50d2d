/// Tests that values are found in the text of a JSON document whatever stands beside them.

#include "base/json_scanner.h"

#include <gtest/gtest.h>

#include <string>

namespace eelgrassgw {
namespace {

using texts = std::vector<std::string_view>;

TEST(json_scanner, array_is_split_into_the_texts_of_its_elements) {
    EXPECT_EQ((texts{"1", "\"a,b]\"", "{\"c\":[2,3]}", "[ ]"}),
              split_json_array(" [1, \"a,b]\" , {\"c\":[2,3]},[ ]] "));
    EXPECT_EQ(texts{}, split_json_array("[]"));
}

TEST(json_scanner, text_that_is_no_array_has_no_elements) {
    for (const char* text : {"", "[", "]", "{}", "null", "\"[1]\""}) {
        EXPECT_EQ(texts{}, split_json_array(text)) << text;
    }
}

TEST(json_scanner, member_is_found_by_its_name_at_the_top_only) {
    const std::string object = R"({"a":{"b":1},"\"b":2, "b" : [3,{"b":4}] ,"c":"b"})";
    EXPECT_EQ("[3,{\"b\":4}]", find_json_member(object, "b"));
    EXPECT_EQ("\"b\"", find_json_member(object, "c"));
    EXPECT_EQ("", find_json_member(object, "d"));
    EXPECT_EQ("", find_json_member("[1]", "b"));
}

TEST(json_scanner, unreadable_element_does_not_hide_the_others) {
    const std::string deep = std::string(1000000, '[') + std::string(1000000, ']');
    for (const std::string& odd : {deep, std::string("1e999"), std::string(R"("\x")"), std::string("NaN")}) {
        const texts found = split_json_array(std::string_view("[1," + odd + ",2]"));
        ASSERT_EQ(3U, found.size());
    }
}

} // namespace
} // namespace eelgrassgw
