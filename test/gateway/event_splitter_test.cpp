/// Tests that complete events are extracted from a stream of bytes, however it is divided.

#include "streams/event_splitter.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

TEST(event_splitter, returns_only_complete_events) {
    event_splitter events;
    EXPECT_EQ("id: 1\ndata: a\n\n", events.append("id: 1\ndata: a\n\nid: 2\nda"));
    EXPECT_EQ("1", events.last_id());
}

TEST(event_splitter, event_received_byte_by_byte_is_returned_once) {
    event_splitter events;
    std::string out;
    for (const char c : std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")) {
        out += events.append({&c, 1});
    }
    EXPECT_EQ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", out);
    EXPECT_EQ(2, events.event_count());
}

TEST(event_splitter, lines_may_end_with_carriage_returns) {
    event_splitter events;
    EXPECT_EQ("id: 1\r\ndata: a\r\n\r\n", events.append("id: 1\r\ndata: a\r\n\r\nid"));
    EXPECT_EQ("1", events.last_id());
}

TEST(event_splitter, restart_discards_an_incomplete_event) {
    event_splitter events;
    events.append("id: 1\ndata: a\n\nid: 2\ndata: half");
    events.restart();
    EXPECT_EQ("id: 2\ndata: b\n\n", events.append("id: 2\ndata: b\n\n"));
}

TEST(event_splitter, restart_skips_repeated_events) {
    event_splitter events;
    events.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    events.restart();
    EXPECT_EQ("id: 3\ndata: c\n\n", events.append("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
    EXPECT_EQ(3, events.event_count());
}

TEST(event_splitter, only_new_events_count_as_events_since_the_restart) {
    event_splitter events;
    EXPECT_FALSE(events.has_events_since_restart());
    events.append("id: 1\ndata: a\n\n");
    EXPECT_TRUE(events.has_events_since_restart());
    events.restart();
    events.append("id: 1\ndata: a\n\n");
    EXPECT_FALSE(events.has_events_since_restart());
    events.append("id: 2\ndata: b\n\n");
    EXPECT_TRUE(events.has_events_since_restart());
}

TEST(event_splitter, stream_without_the_empty_line_of_its_last_event_ends_inside_an_event) {
    for (const std::string end : {"id: 2", "id: 2\ndata: b", "id: 2\ndata: b\n", "id: 2\r\ndata: b\r\n\r"}) {
        event_splitter events;
        EXPECT_EQ("id: 1\ndata: a\n\n", events.append("id: 1\ndata: a\n\n" + end));
        EXPECT_TRUE(events.is_inside_event()) << end;
        EXPECT_EQ(1, events.event_count()) << end;
    }
}

TEST(event_splitter, empty_lines_after_the_last_event_belong_to_no_event) {
    event_splitter events;
    events.append("id: 1\ndata: a\n\n\n\r");
    EXPECT_FALSE(events.is_inside_event());
    EXPECT_EQ("\n\r", events.take_trailing_lines());
    EXPECT_EQ(1, events.event_count());
}

} // namespace
} // namespace eelgrassgw
