#include "connection_choice.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

namespace papayabridge {

namespace {

using enum connection_choice::action;

idle_connection idle(const char* account, bool matches_session = false)
{
    return {.account = account_name(account), .matches_session = matches_session};
}

} // namespace

// A statement ran on a connection that belonged to another account.
TEST(connection_choice, connection_of_another_account_is_never_used)
{
    struct row
    {
        std::vector<idle_connection> idle;
        std::optional<account_name> account;
        bool can_open;
        connection_choice::action what;
        std::size_t index;
    };
    auto a = account_name("a");
    const row rows[] = {
        {{}, a, true, open, 0},
        {{}, a, false, wait, 0},
        {{idle("a"), idle("b")}, a, true, use, 0},
        {{idle("b"), idle("a"), idle("a")}, a, true, use, 2},
        {{idle("a", true), idle("a")}, a, true, use, 0},
        {{idle("a", true), idle("a", true)}, a, true, use, 1},
        {{idle("b", true)}, a, true, open, 0},
        {{idle("b"), idle("c")}, a, false, replace, 0},
        {{idle("b"), idle("c")}, {}, false, use, 1},
        {{idle("")}, a, true, open, 0},
    };
    for (const auto& row : rows) {
        auto choice = choose_connection(row.idle, row.account, row.can_open);
        EXPECT_EQ(choice.what, row.what);
        EXPECT_EQ(choice.index, row.index);
    }
}

namespace {

// The share of statements that open a connection, with 22 connections for 78 accounts
// whose sizes follow Zipf's law with exponent 1.2.
double share_of_openings(bool keeps_connections)
{
    std::vector<double> weights;
    for (int account = 1; account <= 78; ++account) {
        weights.push_back(std::pow(account, -1.2));
    }
    std::discrete_distribution<int> draw(weights.begin(), weights.end());
    std::mt19937 random(20261206);
    std::vector<idle_connection> connections;
    constexpr int statements = 20'000;
    int opened = 0;
    for (int i = 0; i < statements; ++i) {
        auto account = account_name("t" + std::to_string(draw(random)));
        auto choice = choose_connection(connections, account, connections.size() < 22);
        opened += choice.what == use ? 0 : 1;
        if (choice.what == use || choice.what == replace) {
            connections.erase(connections.begin() +
                              static_cast<std::ptrdiff_t>(choice.index));
        }
        if (keeps_connections) {
            connections.push_back({.account = account});
        }
    }
    return double(opened) / statements;
}

} // namespace

// Opening takes a slot of the member for longer than most statements.
TEST(connection_choice, most_statements_of_uneven_accounts_need_no_new_connection)
{
    EXPECT_LT(share_of_openings(true), 0.25);
    EXPECT_EQ(share_of_openings(false), 1.0);
}

} // namespace papayabridge
