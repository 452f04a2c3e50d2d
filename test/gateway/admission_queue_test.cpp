/// Tests the order of waiting requests under the load that it is meant for: bursts of long prompts of low
/// priority beside short chats of priority 0.

#include "admission/admission_queue.h"

#include <gtest/gtest.h>

#include <map>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using clock = admission_queue::clock;

const clock::time_point start = clock::time_point{} + 1h;

admission_request make_request(int priority, std::int64_t tokens, std::chrono::milliseconds objective,
                               clock::time_point now, const std::string& customer = "") {
    admission_request made;
    made.service = "models";
    made.route = "route " + std::to_string(priority);
    made.customer = customer;
    made.priority = priority;
    made.unread_tokens = tokens;
    made.output_tokens = 60;
    made.started = now;
    made.objective = objective;
    made.deadline = now + 10s;
    return made;
}

admission_request chat(clock::time_point now) {
    return make_request(0, 500, 500ms, now);
}

admission_request long_prompt(clock::time_point now) {
    return make_request(2, 12000, 2000ms, now);
}

/// Returns which of the waiting requests gets room for one request; 0 if none does.
admission_queue::ticket next_of(admission_queue& queue, clock::time_point now) {
    bool taken = false;
    const auto served = queue.next(
        [&](auto) { return std::exchange(taken, true) ? place_attempt::no_room : place_attempt::placed; },
        now);
    return served.empty() ? 0 : served.front().number;
}

TEST(admission_queue, urgent_request_goes_before_long_prompts_that_came_earlier) {
    admission_queue queue;
    queue.offer(long_prompt(start), start);
    queue.offer(long_prompt(start), start);
    const auto urgent = queue.offer(chat(start + 10ms), start + 10ms);
    EXPECT_EQ(urgent, next_of(queue, start + 10ms));
}

TEST(admission_queue, request_that_can_be_on_time_goes_before_a_late_one_of_its_priority) {
    admission_queue queue;
    queue.offer(make_request(1, 500, 300ms, start), start);
    const auto timely = queue.offer(make_request(1, 3000, 1000ms, start + 400ms), start + 400ms);
    EXPECT_EQ(timely, next_of(queue, start + 400ms));
}

TEST(admission_queue, less_work_goes_first_and_equal_work_in_order_of_arrival) {
    admission_queue queue;
    queue.offer(make_request(1, 3000, 1000ms, start), start);
    const auto first = queue.offer(make_request(1, 500, 1000ms, start), start);
    const auto second = queue.offer(make_request(1, 500, 1000ms, start + 1ms), start + 1ms);
    EXPECT_EQ(first, next_of(queue, start + 1ms));
    EXPECT_EQ(second, next_of(queue, start + 1ms));
}

TEST(admission_queue, request_behind_too_much_work_is_refused_at_once_with_the_time_of_the_backlog) {
    admission_queue queue;
    for (int i = 0; i < 20; ++i) {
        queue.offer(long_prompt(start), start); // 200 ms each at the expected rate.
    }
    queue.next([](auto) { return place_attempt::no_room; }, start);
    const auto refused = queue.expire(start);
    // The latest start is 3,800 ms after the arrival: 19 prompts are read before, and the 20th begins then.
    EXPECT_EQ(0U, refused.size());
    const auto late = queue.offer(long_prompt(start), start);
    const auto refused_now = queue.expire(start);
    ASSERT_EQ(1U, refused_now.size());
    EXPECT_EQ(late, refused_now.front().number);
    EXPECT_EQ(4000ms, refused_now.front().retry_after);
}

TEST(admission_queue, measured_rate_replaces_the_expected_one) {
    admission_queue queue;
    for (int i = 0; i < 10; ++i) {
        queue.offer(long_prompt(start), start);
    }
    // One prompt in 900 ms: other routers take the rest of the servers' room.
    EXPECT_NE(0U, next_of(queue, start + 900ms));
    EXPECT_EQ(2U, queue.expire(start + 900ms).size());
}

TEST(admission_queue, request_is_refused_before_its_callers_deadline) {
    admission_queue queue;
    admission_request hurried = long_prompt(start);
    hurried.deadline = start + 700ms;
    queue.offer(hurried, start);
    EXPECT_TRUE(queue.expire(start + 500ms).empty());
    EXPECT_EQ(1U, queue.expire(start + 501ms).size());
}

TEST(admission_queue, urgent_request_displaces_the_last_one_of_a_full_queue) {
    admission_queue queue;
    admission_request large = make_request(1, 1, 2000ms, start);
    large.bytes = admission_queue::max_bytes / 4;
    for (int i = 0; i < 4; ++i) {
        queue.offer(large, start);
    }
    EXPECT_TRUE(queue.expire(start).empty());
    admission_request urgent = chat(start + 1ms);
    urgent.bytes = 1000;
    queue.offer(urgent, start + 1ms);
    const auto refused = queue.expire(start + 1ms);
    ASSERT_EQ(1U, refused.size());
    EXPECT_EQ(4U, refused.front().number);
    for (std::size_t i = 0; i < admission_queue::max_requests; ++i) {
        queue.offer(make_request(3, 1, 2000ms, start), start + 1ms);
    }
    EXPECT_EQ(4U, queue.expire(start + 1ms).size());
    EXPECT_EQ(admission_queue::max_requests, queue.size());
}

TEST(admission_queue, room_is_kept_for_a_large_request_that_has_waited) {
    admission_queue queue;
    const auto large = queue.offer(make_request(1, 12000, 1000ms, start), start);
    const auto small_only = [&](auto number) {
        return number == large ? place_attempt::no_room : place_attempt::placed;
    };
    queue.offer(make_request(2, 500, 1000ms, start), start);
    EXPECT_EQ(1U, queue.next(small_only, start).size()); // It uses room that the large one cannot use.
    queue.offer(make_request(2, 500, 1000ms, start + 251ms), start + 251ms);
    EXPECT_TRUE(queue.next(small_only, start + 251ms).empty());
    const auto urgent = queue.offer(chat(start + 251ms), start + 251ms);
    const auto served = queue.next(small_only, start + 251ms);
    ASSERT_EQ(1U, served.size());
    EXPECT_EQ(urgent, served.front().number);
}

TEST(admission_queue, caller_that_leaves_gives_up_its_place) {
    admission_queue queue;
    const auto first = queue.offer(chat(start), start);
    const auto second = queue.offer(chat(start), start);
    queue.leave(first, start);
    queue.leave(first, start);
    EXPECT_EQ(1U, queue.size());
    EXPECT_EQ(second, next_of(queue, start));
}

/// Requests of one kind in a load, and what became of them.
struct load_class {
    admission_request (*make)(clock::time_point now);
    double per_s = 0;
    int offered = 0;
    int served = 0;
    int timely = 0;
    double due = 0;
};

/// Runs a load for eight seconds against servers that read 120 tokens in a millisecond in all. With `fifo`,
/// requests are served in order of arrival and none is refused.
void run_load(std::vector<load_class>& classes, bool fifo) {
    constexpr double rate = 120;
    admission_queue queue;
    std::map<admission_queue::ticket, std::pair<std::size_t, admission_request>> waiting;
    double backlog = 0; // Tokens that the servers still have to read.
    for (auto now = start; now < start + 8s; now += 1ms) {
        backlog = std::max(0.0, backlog - rate);
        for (std::size_t i = 0; i < classes.size(); ++i) {
            for (classes[i].due += classes[i].per_s / 1000; classes[i].due >= 1; --classes[i].due) {
                ++classes[i].offered;
                admission_request request = classes[i].make(now);
                request.expected_rate = rate;
                waiting[queue.offer(request, now)] = {i, request};
            }
        }
        const auto place = [&](admission_queue::ticket number) {
            const bool is_turn = !fifo || number == waiting.begin()->first;
            if (backlog >= rate || !is_turn) {
                return place_attempt::no_room;
            }
            const auto& [index, request] = waiting.at(number);
            backlog += double(request.unread_tokens);
            ++classes[index].served;
            classes[index].timely += now <= request.latest_timely_start() ? 1 : 0;
            return place_attempt::placed;
        };
        if (fifo) {
            while (!waiting.empty() && place(waiting.begin()->first) == place_attempt::placed) {
                queue.leave(waiting.begin()->first, now);
                waiting.erase(waiting.begin());
            }
            continue;
        }
        for (const auto& each : queue.next(place, now)) {
            waiting.erase(each.number);
        }
        for (const auto& each : queue.expire(now)) {
            waiting.erase(each.number);
        }
    }
}

void report(const char* order, const std::vector<load_class>& classes) {
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const std::string name = std::string(order) + "_class_" + std::to_string(i);
        ::testing::Test::RecordProperty(name + "_offered", classes[i].offered);
        ::testing::Test::RecordProperty(name + "_served", classes[i].served);
        ::testing::Test::RecordProperty(name + "_timely", classes[i].timely);
        std::printf("%s: offered %d, served %d, on time %d\n", name.c_str(), classes[i].offered,
                    classes[i].served, classes[i].timely);
    }
}

/// Guards against chats that are late because of long prompts, the fault that the queue was written for.
TEST(admission_queue_load, chats_are_on_time_beside_a_burst_of_long_prompts) {
    // 20,000 tokens a second of chats and 150,000 of long prompts, for servers that read 120,000.
    std::vector<load_class> ordered = {{chat, 40}, {long_prompt, 12.5}};
    std::vector<load_class> in_turn = ordered;
    run_load(ordered, false);
    run_load(in_turn, true);
    report("ordered", ordered);
    report("in_turn", in_turn);
    EXPECT_GE(ordered[0].timely, ordered[0].offered * 98 / 100);
    EXPECT_GT(ordered[0].timely, in_turn[0].timely);
    EXPECT_GE(ordered[1].served * 4, ordered[1].offered); // No kind is served less than a quarter as often.
}

/// Guards against a customer that gets nothing because the others have less work or more urgent requests.
TEST(admission_queue_load, no_customer_kind_or_size_starves) {
    const auto usual = [](clock::time_point now) {
        return make_request(1, 1000, 1000ms, now, "usual");
    };
    const auto large = [](clock::time_point now) {
        return make_request(1, 8000, 1000ms, now, "usual");
    };
    const auto less_urgent = [](clock::time_point now) {
        return make_request(2, 6000, 1000ms, now, "other");
    };
    std::vector<load_class> classes = {{usual, 150}, {large, 10}, {less_urgent, 5}};
    run_load(classes, false);
    report("starvation", classes);
    const auto share = [&](std::size_t i) {
        return double(classes[i].served) / classes[i].offered;
    };
    const double all = double(classes[0].served + classes[1].served + classes[2].served) /
                       (classes[0].offered + classes[1].offered + classes[2].offered);
    const double kind =
        double(classes[0].served + classes[1].served) / (classes[0].offered + classes[1].offered);
    EXPECT_GE(share(1), kind / 2);
    EXPECT_GE(share(2), all / 4);
}

} // namespace
} // namespace eelgrassgw
