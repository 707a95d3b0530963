#include <gtest/gtest.h>
#include <papayabridge/admission_model.hpp>
#include <rapidcheck/gtest.h>

#include <numeric>
#include <set>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

constexpr admission_time start_time{};

admission_options options_for(std::string strategy, unsigned slots)
{
    admission_options options{.slots = slots, .strategy = std::move(strategy)};
    options.ranks[rank::urgent] = {.share_percent = 50};
    options.ranks[rank::normal] = {.share_percent = 30};
    options.ranks[rank::batch] = {.share_percent = 20};
    return options;
}

admission_item make_item(std::uint64_t id, rank of, std::string caller = "a",
                         std::chrono::milliseconds deadline = 60s)
{
    return {.id = id,
            .rank = of,
            .caller = caller_id(std::move(caller)),
            .arrived = start_time + std::chrono::microseconds(id),
            .deadline = start_time + deadline};
}

/// The order in which items start on one slot; each holds it for 10 ms.
std::vector<std::uint64_t> start_order(const std::string& strategy,
                                       const std::vector<admission_item>& items)
{
    admission queue(options_for(strategy, 1));
    auto now = start_time;
    for (const auto& each : items) {
        EXPECT_TRUE(queue.submit(each, now));
    }
    std::vector<std::uint64_t> order;
    for (auto ids = queue.start(now); !ids.empty(); ids = queue.start(now)) {
        order.push_back(ids.front());
        now += 10ms;
        queue.finish(ids.front(), now);
    }
    return order;
}

struct flood_case
{
    const char* name;
    rank flooding;
    unsigned slots;
};

std::ostream& operator<<(std::ostream& out, const flood_case& value)
{
    return out << value.name;
}

model_stream make_stream(rank of, double load, unsigned slots)
{
    constexpr double service_seconds = 0.02;
    return {.rank = of,
            .caller = caller_id(std::string(to_string(of))),
            .per_second = load * slots / service_seconds};
}

} // namespace

TEST(admission, start_order_depends_on_strategy)
{
    const std::vector items{make_item(1, rank::batch), make_item(2, rank::normal),
                            make_item(3, rank::urgent)};
    EXPECT_EQ(start_order("fifo", items), (std::vector<std::uint64_t>{1, 2, 3}));
    EXPECT_EQ(start_order("strict", items), (std::vector<std::uint64_t>{3, 2, 1}));
    EXPECT_EQ(start_order("shares", items), (std::vector<std::uint64_t>{3, 2, 1}));
}

TEST(admission, earliest_deadline_first_within_a_caller)
{
    const std::vector items{make_item(1, rank::normal, "a", 9s),
                            make_item(2, rank::normal, "a", 3s),
                            make_item(3, rank::normal, "a", 3s)};
    EXPECT_EQ(start_order("shares", items), (std::vector<std::uint64_t>{2, 3, 1}));
}

TEST(admission, items_that_can_meet_their_target_go_first)
{
    std::vector items{make_item(1, rank::normal), make_item(2, rank::normal),
                      make_item(3, rank::normal), make_item(4, rank::normal)};
    // After the first item the service time of 10 ms is known, and the second item can no
    // longer meet its target.
    items[0].target = start_time + 1ms;
    items[1].target = start_time + 15ms;
    items[2].target = start_time + 90ms;
    items[3].target = start_time + 80ms;
    EXPECT_EQ(start_order("shares", items), (std::vector<std::uint64_t>{1, 4, 3, 2}));
}

TEST(admission, overloaded_rank_is_served_within_target)
{
    model_options options{.admission = options_for("shares", 2)};
    options.streams = {make_stream(rank::urgent, 3, 2)};
    options.streams[0].target = 300ms;
    options.streams[0].deadline = 2s;
    const auto result = run_admission_model(options);
    const auto possible = static_cast<double>(result.capacity / 20ms);
    EXPECT_GE(static_cast<double>(result.streams[0].within_target), 0.95 * possible);
}

TEST(admission, callers_share_a_slot_fairly)
{
    std::vector<admission_item> items;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        items.push_back(make_item(id, rank::normal, id <= 18 ? "flooder" : "neighbour"));
    }
    const auto order = start_order("shares", items);
    const auto last = std::find(order.begin(), order.end(), 20U);
    EXPECT_LE(last - order.begin(), 5);
}

TEST(admission, full_queue_is_refused_as_overloaded)
{
    auto options = options_for("shares", 1);
    options.ranks[rank::batch].queue_limit = 2;
    admission queue(options);
    EXPECT_TRUE(queue.submit(make_item(1, rank::batch), start_time));
    EXPECT_TRUE(queue.submit(make_item(2, rank::batch), start_time));
    const auto refused = queue.submit(make_item(3, rank::batch), start_time);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, error_kind::overloaded);
    EXPECT_TRUE(queue.submit(make_item(4, rank::urgent), start_time));
}

TEST(admission, only_unmeetable_deadline_is_refused)
{
    admission queue(options_for("shares", 1));
    auto now = start_time;
    EXPECT_TRUE(queue.submit(make_item(1, rank::normal), now));
    queue.start(now);
    now += 100ms;
    queue.finish(1, now);
    // Each item takes 100 ms and 900 ms are left: with one running and nine waiting,
    // a tenth may still start in time.
    for (std::uint64_t id = 2; id <= 12; ++id) {
        EXPECT_TRUE(queue.submit(make_item(id, rank::normal, "a", 1000ms), now)) << id;
        queue.start(now);
    }
    const auto refused = queue.submit(make_item(30, rank::normal, "a", 1000ms), now);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, error_kind::deadline_unmeetable);
    // Items with later deadlines, or of another caller, do not have to start before
    // these.
    EXPECT_TRUE(queue.submit(make_item(31, rank::normal, "a", 500ms), now));
    EXPECT_TRUE(queue.submit(make_item(32, rank::normal, "b", 500ms), now));
}

TEST(admission, expired_and_withdrawn_items_do_not_start)
{
    admission queue(options_for("shares", 1));
    EXPECT_TRUE(queue.submit(make_item(1, rank::normal), start_time));
    EXPECT_TRUE(queue.submit(make_item(2, rank::normal, "a", 50ms), start_time));
    EXPECT_TRUE(queue.submit(make_item(3, rank::normal), start_time));
    EXPECT_TRUE(queue.withdraw(3));
    EXPECT_FALSE(queue.withdraw(3));
    EXPECT_TRUE(queue.expire(start_time + 49ms).empty());
    EXPECT_EQ(queue.expire(start_time + 50ms), (std::vector<std::uint64_t>{2}));
    EXPECT_EQ(queue.start(start_time + 50ms), (std::vector<std::uint64_t>{1}));
    EXPECT_FALSE(queue.withdraw(1));
}

TEST(admission, fewer_slots_do_not_stop_running_items)
{
    admission queue(options_for("shares", 2));
    for (std::uint64_t id = 1; id <= 3; ++id) {
        EXPECT_TRUE(queue.submit(make_item(id, rank::normal), start_time));
    }
    EXPECT_EQ(queue.start(start_time).size(), 2U);
    queue.configure(options_for("shares", 1));
    queue.finish(1, start_time + 1ms);
    EXPECT_TRUE(queue.start(start_time + 1ms).empty());
    queue.finish(2, start_time + 2ms);
    EXPECT_EQ(queue.start(start_time + 2ms).size(), 1U);
}

class admission_flood_Test : public testing::TestWithParam<flood_case>
{
};

TEST_P(admission_flood_Test, every_rank_keeps_its_share)
{
    const auto& flood = GetParam();
    model_options options{.admission = options_for("shares", flood.slots)};
    for (auto each : all_ranks) {
        const double load = each == flood.flooding ? 10.0 : 0.6;
        options.streams.push_back(make_stream(each, load, flood.slots));
    }
    const auto result = run_admission_model(options);
    for (std::size_t i = 0; i < all_ranks.size(); ++i) {
        const auto kept = static_cast<double>(result.streams[i].slot_time.count()) /
                          static_cast<double>(result.capacity.count());
        const auto share = options.admission.ranks[all_ranks[i]].share_percent / 100.0;
        EXPECT_GE(kept, share * 0.9) << to_string(all_ranks[i]);
    }
    EXPECT_EQ(result.wasted_slot_time, 0us);
    EXPECT_LE(result.max_running, flood.slots);
    EXPECT_TRUE(result.each_ended_once);
}

INSTANTIATE_TEST_SUITE_P(floods, admission_flood_Test,
                         testing::Values(flood_case{"urgent2", rank::urgent, 2},
                                         flood_case{"normal2", rank::normal, 2},
                                         flood_case{"batch2", rank::batch, 2},
                                         flood_case{"urgent5", rank::urgent, 5},
                                         flood_case{"normal5", rank::normal, 5},
                                         flood_case{"batch5", rank::batch, 5}));

TEST(admission, light_urgent_load_is_within_target_in_a_batch_flood)
{
    model_options options{.admission = options_for("shares", 2)};
    options.streams = {make_stream(rank::urgent, 0.2, 2),
                       make_stream(rank::batch, 10, 2)};
    options.streams[0].target = 400ms;
    const auto result = run_admission_model(options);
    const auto& urgent = result.streams[0];
    EXPECT_GE(static_cast<double>(urgent.within_target),
              0.999 * static_cast<double>(urgent.sent));
}

RC_GTEST_PROP(admission_property, each_item_ends_once_and_slots_are_never_exceeded,
              (std::uint64_t seed))
{
    model_options options{.warmup = 0ms, .duration = 1500ms, .seed = seed};
    const auto strategy = *rc::gen::element<std::string>("shares", "fifo", "strict");
    const auto slots = *rc::gen::inRange(1U, 6U);
    options.admission = options_for(strategy, slots);
    options.admission.ranks[rank::batch].queue_limit = 30;
    for (auto each : all_ranks) {
        const auto load = *rc::gen::inRange(1, 40);
        options.streams.push_back(make_stream(each, load / 10.0, slots));
        options.streams.back().deadline =
            std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
    }
    const auto result = run_admission_model(options);
    RC_ASSERT(result.each_ended_once);
    RC_ASSERT(result.wasted_slot_time == 0us);
    RC_ASSERT(result.max_running <= slots);
    for (const auto& each : result.streams) {
        RC_ASSERT(each.sent ==
                  each.served + each.expired + each.refused_full + each.refused_deadline);
    }
}

RC_GTEST_PROP(admission_property, every_submitted_item_starts_once, ())
{
    const auto strategy = *rc::gen::element<std::string>("shares", "fifo", "strict");
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 60);
    std::vector<admission_item> items;
    for (std::uint64_t id = 1; id <= count; ++id) {
        const auto of = all_ranks[*rc::gen::inRange<std::size_t>(0, rank_count)];
        items.push_back(make_item(id, of, std::string(1, *rc::gen::inRange('a', 'e'))));
    }
    const auto order = start_order(strategy, items);
    RC_ASSERT(order.size() == items.size());
    RC_ASSERT(std::set(order.begin(), order.end()).size() == items.size());
    // Items of one caller and rank with equal deadlines start in order of arrival.
    std::map<std::pair<rank, caller_id>, std::uint64_t> last;
    for (auto id : order) {
        const auto& started = items[id - 1];
        auto& before = last[{started.rank, started.caller}];
        RC_ASSERT(before < id);
        before = id;
    }
}

} // namespace papayabridge
