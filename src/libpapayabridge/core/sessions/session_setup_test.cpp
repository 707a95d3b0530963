#include "session_setup.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using values = std::map<std::string, std::string>;

// Applies the messages of a setup to the contents of a connection.
connection_contents apply_setup(connection_contents held, const connection_setup& setup)
{
    if (setup.reset) {
        held = {};
    }
    for (const auto& [name, value] : setup.values) {
        held.values[name] = value;
    }
    if (setup.prepare) {
        held.prepared[*setup.prepare] = setup.prepared_name;
    }
    return held;
}

} // namespace

TEST(session_setup, matching_connection_needs_no_messages)
{
    connection_contents held{.values = {{"a", "1"}}};
    session_values session{.values = {{"a", "1"}}};
    EXPECT_EQ(plan_connection_setup(held, session, std::nullopt).setup_answer_count(),
              0U);
    EXPECT_TRUE(session_values_match(held, session));
}

TEST(session_setup, value_of_another_session_causes_a_reset)
{
    connection_contents held{.values = {{"a", "1"}, {"b", "2"}}};
    auto setup = plan_connection_setup(held, {.values = {{"a", "1"}}}, std::nullopt);
    EXPECT_TRUE(setup.reset);
    EXPECT_EQ(setup.resulting_contents.values, (values{{"a", "1"}}));
}

TEST(session_setup, shape_is_prepared_once_per_connection)
{
    prepared_shape shape{.writes = true, .shape = "q2c"};
    auto first = plan_connection_setup({}, {}, shape);
    EXPECT_TRUE(first.prepare);
    auto second = plan_connection_setup(first.resulting_contents, {}, shape);
    EXPECT_FALSE(second.prepare);
    EXPECT_EQ(second.prepared_name, first.prepared_name);
    auto other = plan_connection_setup(first.resulting_contents, {},
                                       prepared_shape{.shape = "q2c"});
    EXPECT_NE(other.prepared_name, first.prepared_name);
}

// Each of the 64 shapes of a connection could have the size of a message, so that two
// callers made an entry hold 127 MB.
TEST(session_setup, shapes_of_a_connection_are_bounded_in_bytes)
{
    connection_contents held;
    for (int number = 0; number < 60; ++number) {
        prepared_shape shape{.shape = std::to_string(number) + std::string(100'000, 'a')};
        auto setup = plan_connection_setup(held, {}, shape);
        EXPECT_TRUE(setup.prepare);
        EXPECT_EQ(setup.reset, number > 0 && number % 2 == 0);
        held = setup.resulting_contents;
        EXPECT_LE(held.prepared.size(), 2U);
    }
    prepared_shape large{.shape = std::string(1'000'000, 'a')};
    auto setup = plan_connection_setup(held, {}, large);
    EXPECT_TRUE(setup.reset);
    EXPECT_TRUE(setup.prepare);
    EXPECT_EQ(setup.resulting_contents.shape_bytes, 1'000'000U);
    EXPECT_FALSE(plan_connection_setup(setup.resulting_contents, {}, large).reset);
}

RC_GTEST_PROP(session_setup, each_session_gets_its_own_values,
              (const std::vector<values>& sessions,
               const std::vector<std::string>& shapes))
{
    connection_contents held;
    for (std::size_t i = 0; i < sessions.size(); ++i) {
        std::optional<prepared_shape> needed;
        if (!shapes.empty() && i % 2 == 0) {
            needed = prepared_shape{.shape = shapes[i % shapes.size()]};
        }
        auto setup = plan_connection_setup(held, {.values = sessions[i]}, needed);
        held = apply_setup(held, setup);
        RC_ASSERT(held.values == sessions[i]);
        RC_ASSERT(setup.resulting_contents.values == held.values);
        if (needed) {
            RC_ASSERT(held.prepared.at(*needed) == setup.prepared_name);
        }
        held = setup.resulting_contents;
    }
}

} // namespace papayabridge
