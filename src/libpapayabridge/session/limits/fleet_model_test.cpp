// The limits of accounts over a simulated fleet: what they let through under faults, what
// they refuse without faults, and what they cost.

#include "fleet_model_test.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <iostream>
#include <numeric>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

constexpr boot_time start = 100s;
const account_name acme("acme");

// Weights of the entries: `even` gives all the same, `zipf` gives the first ones most.
std::vector<double> spread(std::size_t entries, double exponent)
{
    std::vector<double> weights;
    for (std::size_t i = 1; i <= entries; ++i) {
        weights.push_back(std::pow(static_cast<double>(i), -exponent));
    }
    return weights;
}

} // namespace

// An account at its limit lost a part of it to tokens that expired at entries with few
// callers.
TEST(fleet_limits, limit_is_usable_wherever_the_callers_are)
{
    struct row
    {
        const char* what;
        double rate;
        double exponent;
        double demand;
    };
    constexpr double spike = 7.5 / 1.6;
    const row rows[] = {
        {"large, even", 281, 0, spike},        {"large, uneven", 281, 1.2, spike},
        {"large, one entry", 281, 40, spike},  {"middle, uneven", 40, 1.2, spike},
        {"small, even", 4, 0, spike},          {"small, uneven", 4, 1.2, spike},
        {"large, little over", 281, 1.2, 1.2}, {"middle, little over", 40, 0.6, 1.2},
    };
    for (const auto& row : rows) {
        client_account limit{.operations_per_second = row.rate, .burst = row.rate};
        fleet_model fleet({.accounts = {{acme, limit}}});
        fleet.add_spread_demand(acme, spread(71, row.exponent), row.rate * row.demand,
                                start, start + 60s);
        fleet.run_until(start + 60s);
        auto usable =
            static_cast<double>(fleet.admitted_between(acme, start + 20s, start + 60s)) /
            (row.rate * 40);
        std::cout << row.what << ": usable " << usable << ", busiest window "
                  << fleet.busiest_window(acme) << " of " << allowed_in_window(limit)
                  << ", bytes/s " << fleet.bytes() / 60 << " in all, messages/s "
                  << fleet.messages() / 60 << ", at the home "
                  << fleet.most_bytes_of_an_entry() / 60 << ", refused at the told time "
                  << fleet.refused_at_told_time() << ", longest told "
                  << fleet.longest_told_time().count() << " ms\n";
        EXPECT_GE(usable, 0.97) << row.what;
        EXPECT_LE(static_cast<double>(fleet.busiest_window(acme)),
                  allowed_in_window(limit))
            << row.what;
        EXPECT_EQ(fleet.refused_at_told_time(), 0U) << row.what;
    }
}

// Accounts at their usual rate were refused because two operations came together, and
// requests for single tokens filled the links.
TEST(fleet_limits, usual_load_is_not_refused_and_costs_little)
{
    constexpr std::size_t accounts = 78;
    constexpr double operations = 700;
    constexpr auto duration = 60s;
    auto weights = spread(accounts, 1.2);
    auto sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    fleet_model_options options;
    for (std::size_t i = 0; i < accounts; ++i) {
        auto rate = 1.6 * operations * weights[i] / sum;
        options.accounts[account_name("account-" + std::to_string(i))] = {
            .operations_per_second = rate, .burst = rate};
    }
    fleet_model fleet(options);
    std::size_t turn = 0;
    for (const auto& [name, limit] : options.accounts) {
        auto callers = spread(71, 0.8);
        std::rotate(callers.begin(), callers.begin() + static_cast<int>(turn++ % 71),
                    callers.end());
        fleet.add_spread_demand(name, callers, limit.operations_per_second / 1.6, start,
                                start + duration);
    }
    fleet.run_until(start + duration);
    auto per_entry = [&](std::size_t count) {
        return static_cast<double>(count) / 71 / 60;
    };
    std::cout << "refused " << fleet.refused() << "; an entry sends "
              << per_entry(fleet.messages()) << " messages/s, "
              << per_entry(fleet.bytes())
              << " bytes/s; the one with the most sends and receives "
              << fleet.most_bytes_of_an_entry() / 60 << " bytes/s\n";
    EXPECT_EQ(fleet.refused(), 0U);
    // All control traffic of an entry must stay under 7 kB/s.
    EXPECT_LT(fleet.most_bytes_of_an_entry() / 60, 7000U);
    EXPECT_LT(per_entry(fleet.bytes()) * 2, 1500);
}

namespace {

const client_account large{.operations_per_second = 281, .burst = 281};
// With a small burst, faults have no room in what a full bucket leaves unused.
const client_account steady{.operations_per_second = 400, .burst = 40};

// An account far over its limit at all of 12 entries; its bucket is full at the start.
struct flooded_fleet
{
    explicit flooded_fleet(const client_account& account, boot_time jitter = 0ns)
        : limit(account),
          fleet({.entries = 12, .accounts = {{acme, limit}}, .jitter = jitter})
    {
        fleet.add_spread_demand(acme, spread(12, 0), limit.operations_per_second * 7.5,
                                start + 1s, start + 15s);
    }

    ~flooded_fleet()
    {
        EXPECT_LE(static_cast<double>(fleet.busiest_window(acme)),
                  allowed_in_window(limit));
        std::cout << "busiest window " << fleet.busiest_window(acme) << " of "
                  << allowed_in_window(limit) << "\n";
    }
    flooded_fleet(const flooded_fleet&) = delete;
    flooded_fleet& operator=(const flooded_fleet&) = delete;

    std::size_t admitted(boot_time from, boot_time to)
    {
        return fleet.admitted_between(acme, start + from, start + to);
    }

    client_account limit;
    fleet_model fleet;
};

struct flooded_fleet_test : testing::TestWithParam<client_account>
{
};

INSTANTIATE_TEST_SUITE_P(fleet_limits, flooded_fleet_test,
                         testing::Values(large, steady));

} // namespace

// Entries spent the tokens of a lost home on top of what its successor granted.
TEST_P(flooded_fleet_test, lost_home_with_tokens_out)
{
    flooded_fleet test(GetParam());
    auto lost = test.fleet.home(acme);
    auto next = (lost + 1) % 12;
    test.fleet.at(start + 7s, [&, lost] {
        test.fleet.cut_links(
            [lost](auto from, auto to) { return from == lost || to == lost; });
        test.fleet.suspend(lost, start + 15s);
    });
    for (std::size_t viewer = 0; viewer < 12; ++viewer) {
        test.fleet.at(start + 8s + viewer * 80ms,
                      [&, viewer] { test.fleet.learn_home(acme, viewer, next); });
    }
    test.fleet.run_until(start + 15s);
    // For a short time at the last rate, then at that of the successor.
    std::cout << "while the home is lost: " << test.admitted(7100ms, 8s) << "\n";
    EXPECT_GE(test.admitted(7100ms, 8s), 0.3 * test.limit.operations_per_second);
    EXPECT_LE(test.admitted(7100ms, 8s), 0.7 * test.limit.operations_per_second);
    EXPECT_GE(test.admitted(11s, 15s), 0.97 * 4 * test.limit.operations_per_second);
}

// Both granted at the full rate while views differed.
TEST_P(flooded_fleet_test, home_and_successor_at_once)
{
    flooded_fleet test(GetParam());
    auto old = test.fleet.home(acme);
    auto next = (old + 1) % 12;
    for (std::size_t viewer = 0; viewer < 12; ++viewer) {
        bool is_late = viewer == old || viewer % 2 == 0;
        test.fleet.at(start + (is_late && viewer != next ? 4s : 3s),
                      [&, viewer] { test.fleet.learn_home(acme, viewer, next); });
    }
    test.fleet.run_until(start + 15s);
    EXPECT_GE(test.admitted(6s, 10s), 0.97 * 4 * test.limit.operations_per_second);
}

// All but one entry are cut off from the home, which grants all it has to that one.
TEST_P(flooded_fleet_test, entries_cut_off_from_a_home_that_runs)
{
    flooded_fleet test(GetParam());
    auto home = test.fleet.home(acme);
    auto other = (home + 1) % 12;
    test.fleet.add_demand(acme, other, test.limit.operations_per_second * 2, start + 1s,
                          start + 15s);
    test.fleet.at(start + 8s, [&, home, other] {
        test.fleet.cut_links([=](auto from, auto to) {
            return (from == home && to != other) || (to == home && from != other);
        });
    });
    test.fleet.at(start + 11s, [&] { test.fleet.cut_links(nullptr); });
    test.fleet.run_until(start + 15s);
}

// Tokens that arrived late were spent beside those of the next seconds.
TEST_P(flooded_fleet_test, answers_that_are_late)
{
    flooded_fleet test(GetParam(), 300ms);
    test.fleet.run_until(start + 15s);
}

// A home that runs, with an old view, is replaced while a part of the entries reaches
// neither of the two.
TEST_P(flooded_fleet_test, home_is_replaced_while_entries_are_cut_off)
{
    flooded_fleet test(GetParam());
    auto old = test.fleet.home(acme);
    auto next = (old + 1) % 12;
    auto is_apart = [=](std::size_t entry) {
        return entry != old && entry != next && entry % 3 != 0;
    };
    test.fleet.at(start + 3s, [&, is_apart] {
        test.fleet.cut_links(
            [=](auto from, auto to) { return is_apart(from) != is_apart(to); });
    });
    for (std::size_t viewer = 0; viewer < 12; ++viewer) {
        auto learnt = viewer == next ? 3s : viewer == old ? 4s : 3s + viewer * 80ms;
        test.fleet.at(start + learnt,
                      [&, viewer] { test.fleet.learn_home(acme, viewer, next); });
    }
    test.fleet.at(start + 7s, [&] { test.fleet.cut_links(nullptr); });
    test.fleet.run_until(start + 15s);
}

TEST_P(flooded_fleet_test, lowered_limit_takes_effect_at_once)
{
    flooded_fleet test(GetParam());
    test.fleet.at(start + 5s, [&] {
        test.fleet.set_limit(acme, {.operations_per_second = 40, .burst = 10});
    });
    test.fleet.run_until(start + 15s);
    // After the last tokens of the old limit have expired.
    EXPECT_LE(test.admitted(5900ms, 10900ms), 40 * 5 + 10 + 12);
    EXPECT_GE(test.admitted(5900ms, 10900ms), 0.97 * 40 * 5);
}

// Tokens granted before a home was lost, spending without an answer, and two homes at
// once added up to more than the rule allows.
RC_GTEST_PROP(fleet_limits, no_fault_lets_more_through_than_allowed, ())
{
    auto rate = static_cast<double>(*rc::gen::inRange(1, 400));
    auto burst = rate * *rc::gen::inRange(0, 20) / 10;
    client_account limit{.operations_per_second = rate, .burst = burst};
    auto entries = static_cast<std::size_t>(*rc::gen::inRange(2, 12));
    auto seed = static_cast<unsigned>(*rc::gen::inRange(1, 1'000'000));
    fleet_model fleet({.seed = seed,
                       .entries = entries,
                       .accounts = {{acme, limit}},
                       .loss = *rc::gen::inRange(0, 4) / 10.0,
                       .duplication = *rc::gen::inRange(0, 3) / 10.0,
                       .jitter = std::chrono::milliseconds(*rc::gen::inRange(0, 200))});
    auto demand = *rc::gen::inRange(5, 80) / 10.0;
    auto rest = std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    auto exponent = *rc::gen::inRange(0, 20) / 10.0;
    // With pauses, so that tokens are held when the next operations come.
    auto pulse = std::chrono::milliseconds(*rc::gen::inRange(50, 6000));
    auto pause = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
    for (auto begin = start + rest; begin < start + 20s; begin += pulse + pause) {
        fleet.add_spread_demand(acme, spread(entries, exponent), rate * demand, begin,
                                begin + pulse);
    }
    // The home changes every 6 s; each entry learns of it within 1 s.
    for (auto change = start + std::chrono::milliseconds(*rc::gen::inRange(500, 6000));
         change < start + 20s; change += 6s)
    {
        auto home = *rc::gen::inRange<std::size_t>(0, entries);
        for (std::size_t viewer = 0; viewer < entries; ++viewer) {
            auto learnt = change + std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
            fleet.at(learnt,
                     [&fleet, viewer, home] { fleet.learn_home(acme, viewer, home); });
        }
    }
    // A part of the entries is cut off from the others, again and again.
    auto cut_from = *rc::gen::inRange<std::size_t>(0, entries);
    auto cut_time = std::chrono::milliseconds(*rc::gen::inRange(100, 3000));
    auto cut_pause = std::chrono::milliseconds(*rc::gen::inRange(100, 3000));
    fleet.cut_links([=, &fleet](std::size_t from, std::size_t to) {
        auto phase = (fleet.now() - start) % (cut_time + cut_pause);
        return (from < cut_from) != (to < cut_from) && phase > cut_pause;
    });
    auto suspended = *rc::gen::inRange<std::size_t>(0, entries);
    auto suspended_at = start + std::chrono::milliseconds(*rc::gen::inRange(0, 15000));
    fleet.at(suspended_at, [&fleet, suspended, suspended_at] {
        fleet.suspend(suspended, suspended_at + 2s);
    });
    fleet.run_until(start + 20s);
    auto most = static_cast<double>(fleet.busiest_window(acme));
    static double largest_part = 0;
    if (most / allowed_in_window(limit) > largest_part) {
        largest_part = most / allowed_in_window(limit);
        std::cout << "largest part of the allowed so far: " << largest_part << "\n";
    }
    RC_ASSERT(most <= allowed_in_window(limit));
}

} // namespace papayabridge
