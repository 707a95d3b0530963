#include "core/consensus/departed_keepers.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

struct departure_case
{
    const char* name;
    keeper_sighting keeper;
    std::chrono::milliseconds leading_for;
    bool departed;
};

const keeper_id k("k");

const departure_case cases[] = {
    {"a voter that is down", {.id = k, .votes = true, .since_contact = 1h}, 1h, false},
    {"a voter never heard", {.id = k, .votes = true}, 1h, false},
    {"a learner that catches up", {.id = k, .since_contact = 80ms}, 1h, false},
    {"a learner cut off for a while", {.id = k, .since_contact = 14s}, 1h, false},
    {"a replaced keeper", {.id = k, .since_contact = 16s}, 1h, true},
    {"a replaced keeper, new leader", {.id = k, .since_contact = 1h}, 14s, false},
    {"a replaced keeper this leader never heard", {.id = k}, 16s, true},
    {"the same, new leader", {.id = k}, 14s, false},
};

} // namespace

TEST(departed_keepers, only_replaced_and_silent_keepers_are_given_up)
{
    for (const auto& row : cases) {
        auto departed = find_departed_keepers({row.keeper}, row.leading_for);
        EXPECT_EQ(departed.size(), row.departed ? 1U : 0U) << row.name;
    }
}

// Two years in which one keeper of three is replaced each day.
TEST(departed_keepers, the_list_stays_short_over_years_of_replacements)
{
    std::vector<keeper_sighting> registered;
    std::size_t longest = 0;
    for (int day = 0; day < 730; ++day) {
        for (auto& keeper : registered) {
            keeper.since_contact = keeper.votes ? 80ms : 24h;
        }
        if (registered.size() >= 3) {
            registered[registered.size() - 3].votes = false;
        }
        registered.push_back({.id = keeper_id("k" + std::to_string(day)),
                              .votes = true,
                              .since_contact = 80ms});
        for (const auto& id : find_departed_keepers(registered, 24h)) {
            std::erase_if(registered, [&](const auto& one) { return one.id == id; });
        }
        longest = std::max(longest, registered.size());
    }
    EXPECT_LE(longest, 4U);
}

} // namespace papayabridge
