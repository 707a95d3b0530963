#include "core/observability/log_story.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/json.hpp>
#include <papayabridge/log.hpp>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace papayabridge {

namespace {

constexpr std::uint64_t ms = std::uint64_t{1} << 16;
constexpr std::uint64_t noon = 1'000'000 * ms;

std::string line_of(std::uint64_t at_ms, const std::string& process, log_event event,
                    log_fields fields)
{
    return format_log_line(event, noon + at_ms * ms, process, fields) + "\n";
}

// Two entries and a keeper; a request that failed at the second entry.
log_lines recorded()
{
    std::istringstream keeper(
        line_of(100, "k1", log_event::primary_probed,
                {{"service", "s"}, {"member", "m1"}, {"lost", "true"}}) +
        line_of(5000, "k1", log_event::primary_changed,
                {{"service", "s"}, {"member", "m2"}}));
    std::istringstream entry(
        "12.5 e2 " +
        line_of(150, "e2", log_event::statement_retried,
                {{"request", "r1"}, {"member", "m1"}, {"kind", "superseded"}}) +
        "not a line of ours\n" +
        line_of(90, "e2", log_event::keepers_lost, {{"detail", "cut off"}}) +
        line_of(200, "e2", log_event::statement_refused,
                {{"request", "r1"}, {"member", "m1"}, {"kind", "superseded"}}) +
        line_of(180, "e2", log_event::statement_refused, {{"request", "r2"}}));
    std::istringstream other(
        line_of(120, "e1", log_event::keepers_reached, {{"applied", log_number(3)}}));
    log_lines all;
    for (auto* file : {&keeper, &entry, &other}) {
        read_log(*file, all);
    }
    put_in_order(all);
    return all;
}

std::vector<std::string> events_of(const std::vector<Json::Value>& lines)
{
    std::vector<std::string> names;
    names.reserve(lines.size());
    for (const auto& line : lines) {
        names.push_back(text_of(line, "event"));
    }
    return names;
}

} // namespace

TEST(log_story, puts_files_in_order_and_counts_what_is_no_line)
{
    auto all = recorded();
    EXPECT_EQ(all.unreadable, 1u);
    EXPECT_THAT(events_of(all.lines),
                testing::ElementsAre("keepers_lost", "primary_probed", "keepers_reached",
                                     "statement_retried", "statement_refused",
                                     "statement_refused", "primary_changed"));
}

TEST(log_story, shows_the_request_and_the_changes_that_bear_on_it)
{
    auto story = story_of(recorded(), "r1", 1000);
    EXPECT_THAT(events_of(story.own),
                testing::ElementsAre("statement_retried", "statement_refused"));
    EXPECT_THAT(events_of(story.around),
                testing::ElementsAre("keepers_lost", "primary_probed"));
    EXPECT_TRUE(story_of(recorded(), "r1", 20).around.empty());
}

TEST(log_story, knows_nothing_of_a_request_without_lines)
{
    auto story = story_of(recorded(), "r9", 1000);
    EXPECT_TRUE(story.own.empty());
    EXPECT_TRUE(story.around.empty());
}

TEST(log_story, writes_a_line_for_people)
{
    auto all = recorded();
    EXPECT_EQ(log_line_text(all.lines.front()),
              "1970-01-01T00:16:40.090 e2 keepers_lost detail=\"cut off\"");
}

RC_GTEST_PROP(log_story, any_bytes_are_read, (const std::string& bytes))
{
    std::istringstream in(bytes + "\n{" + bytes + "\n" + bytes + "{}\n");
    log_lines all;
    read_log(in, all);
    put_in_order(all);
    static_cast<void>(story_of(all, bytes, 1000));
}

} // namespace papayabridge
