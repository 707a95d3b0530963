#include "rate_limit.hpp"

#include <gtest/gtest.h>
#include <numeric>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

constexpr boot_time start = 1000s;
// What a bucket holds above the burst.
constexpr unsigned allowance = 12;

const client_account ten{.operations_per_second = 10, .burst = 20};

// Tokens for operations in a row of one entry.
entry_tokens with_tokens(unsigned count, boot_time now)
{
    entry_tokens tokens;
    tokens.record_answer({.granted = count}, 350ms, now, now);
    return tokens;
}

unsigned admitted(entry_tokens& tokens, unsigned tries, boot_time now)
{
    unsigned count = 0;
    for (unsigned i = 0; i < tries; ++i) {
        count += tokens.decide(now) == operation_step::admit ? 1 : 0;
    }
    return count;
}

token_grant grant(token_bucket& bucket, const client_account& limit,
                  token_bucket::asker from, unsigned wanted, unsigned overspent,
                  boot_time now)
{
    return bucket.grant(limit, from, {.wanted = wanted, .overspent = overspent}, now);
}

unsigned wanted(const entry_tokens& tokens, unsigned waiting, boot_time now)
{
    return tokens.request(account_name("acme"), waiting, now).wanted;
}

} // namespace

// A change of entries moved accounts whose home had not left.
TEST(order_homes, loss_of_an_entry_moves_only_its_own_accounts)
{
    std::vector<entry_id> entries;
    entries.reserve(20);
    for (int i = 0; i < 20; ++i) {
        entries.emplace_back("entry-" + std::to_string(i));
    }
    auto fewer = entries;
    fewer.erase(fewer.begin() + 7);
    std::map<entry_id, int> accounts_of;
    for (int i = 0; i < 400; ++i) {
        account_name account("account-" + std::to_string(i));
        auto before = order_homes(account, entries, 2);
        auto after = order_homes(account, fewer, 2);
        ++accounts_of[before.front()];
        EXPECT_EQ(after.front(), before.front() == entries[7] ? before[1] : before[0]);
    }
    for (const auto& [entry, count] : accounts_of) {
        EXPECT_GT(count, 5) << entry.str();
        EXPECT_LT(count, 45) << entry.str();
    }
    EXPECT_TRUE(order_homes(account_name("a"), {}, 2).empty());
}

// One row a load pattern: what one entry that asks for many tokens gets at each time.
TEST(token_bucket, grants_what_is_there)
{
    struct request
    {
        boot_time at;
        unsigned wanted;
        unsigned granted;
    };
    struct row
    {
        const char* what;
        bool is_full;
        client_account limit;
        std::vector<request> requests;
    };
    const row rows[] = {
        {"burst, then the rate",
         true,
         ten,
         {{0s, 100, 20 + allowance}, {500ms, 100, 5}, {1500ms, 100, 10}}},
        {"fitted to the demand", true, ten, {{0s, 3, 3}, {0s, 1, 1}}},
        {"rest fills to the burst",
         true,
         ten,
         {{0s, 30, 30}, {60s, 100, 20 + allowance}}},
        {"new home is empty and slow",
         false,
         ten,
         {{0s, 5, 0}, {1s, 5, 1}, {2s, 20, 10}}},
        {"less than one a second",
         false,
         {.operations_per_second = 0.5, .burst = 1},
         {{0s, 1, 0}, {2s, 1, 0}, {4s, 1, 1}, {4500ms, 1, 0}, {6s, 1, 1}}},
    };
    for (const auto& row : rows) {
        auto bucket =
            row.is_full ? token_bucket::full(row.limit, start) : token_bucket(start);
        for (const auto& request : row.requests) {
            auto got = grant(bucket, row.limit, 1, request.wanted, 0, start + request.at);
            EXPECT_EQ(got.granted, request.granted)
                << row.what << " at " << request.at.count();
            EXPECT_EQ(got.granted<request.wanted, got.retry_after> 0ms) << row.what;
        }
    }
}

TEST(token_bucket, lowered_limit_holds_at_the_next_grant)
{
    auto bucket = token_bucket::full(ten, start);
    client_account lower{.operations_per_second = 1, .burst = 2};
    EXPECT_EQ(grant(bucket, lower, 1, 100, 0, start + 1s).granted, 2 + allowance);
    EXPECT_EQ(grant(bucket, lower, 1, 100, 0, start + 3s).granted, 2U);
    // A raised one counts from the time when it is known.
    EXPECT_EQ(grant(bucket, ten, 1, 100, 0, start + 5s).granted, 2U);
    EXPECT_EQ(grant(bucket, ten, 1, 100, 0, start + 6s).granted, 10U);
}

// Entries that came back at the told time found that others had taken the tokens.
TEST(token_bucket, told_time_is_true_for_each_that_was_refused)
{
    auto bucket = token_bucket::full(ten, start);
    grant(bucket, ten, 1, 20 + allowance, 0, start);
    std::map<token_bucket::asker, boot_time> told;
    for (token_bucket::asker entry = 1; entry <= 5; ++entry) {
        auto refused = grant(bucket, ten, entry, 1, 0, start);
        ASSERT_EQ(refused.granted, 0U);
        told[entry] = start + refused.retry_after;
    }
    for (const auto& [entry, at] : told) {
        // One that was not told anything does not get ahead.
        EXPECT_EQ(grant(bucket, ten, 9, 1, 0, at).granted, 0U);
        EXPECT_EQ(grant(bucket, ten, entry, 1, 0, at).granted, 1U) << entry;
    }
}

// Tokens that were kept for an entry without operations were lost.
TEST(token_bucket, tokens_that_nobody_came_for_go_to_the_next)
{
    auto bucket = token_bucket::full(ten, start);
    grant(bucket, ten, 1, 20 + allowance, 0, start);
    auto refused = grant(bucket, ten, 2, 1, 0, start);
    EXPECT_EQ(refused.retry_after, 100ms);
    EXPECT_EQ(grant(bucket, ten, 3, 1, 0, start + 120ms).granted, 0U);
    EXPECT_EQ(grant(bucket, ten, 4, 1, 0, start + 160ms).granted, 1U);
}

// An entry that lost its home spent beside what the home gave to the others.
TEST(token_bucket, tokens_are_held_back_for_an_entry_that_does_not_ask_any_more)
{
    client_account limit{.operations_per_second = 100, .burst = 100};
    auto run = [&](boot_time returns, unsigned overspent) {
        auto bucket = token_bucket::full(limit, start);
        auto now = start;
        // Both ask at half the rate; entry 2 stops after 5 s.
        for (; now < start + 5s; now += 100ms) {
            grant(bucket, limit, 1, 5, 0, now);
            grant(bucket, limit, 2, 5, 0, now);
        }
        unsigned granted = 0;
        for (; now < start + 15s; now += 20ms) {
            granted += grant(bucket, limit, 1, 50, 0, now).granted;
            if (now == start + returns) {
                grant(bucket, limit, 2, 0, overspent, now);
            }
        }
        return granted;
    };
    auto full = 100 + allowance + 100 * 10;
    // Held back: 0.5 s at the rate of 50 that it had, and given back 8 s later.
    EXPECT_NEAR(run(7s, 0), full, 4);
    EXPECT_NEAR(run(7s, 25), full - 25, 4);
    EXPECT_NEAR(run(100s, 0), full, 4);
}

// Tokens that were kept too long were spent together with those of the next seconds.
TEST(entry_tokens, tokens_expire)
{
    auto tokens = with_tokens(5, start);
    EXPECT_EQ(admitted(tokens, 2, start + 340ms), 2U);
    EXPECT_EQ(admitted(tokens, 2, start + 350ms), 0U);
    EXPECT_EQ(tokens.decide(start + 350ms), operation_step::wait);
}

// One row a load pattern: operations at equal distances, and what is asked for then.
TEST(entry_tokens, asks_ahead_only_for_a_busy_account)
{
    struct row
    {
        unsigned operations_per_second;
        unsigned least;
        unsigned most;
    };
    const row rows[] = {{1, 1, 1}, {2, 1, 2}, {10, 8, 10}, {100, 11, 11}, {400, 11, 11}};
    for (const auto& row : rows) {
        entry_tokens tokens;
        tokens.record_answer({}, 850ms, start, start);
        auto now = start;
        for (unsigned i = 0; i < row.operations_per_second * 5; ++i) {
            now += boot_time(1s) / row.operations_per_second;
            tokens.record_arrival(now);
        }
        EXPECT_GE(wanted(tokens, 1, now), row.least) << row.operations_per_second;
        EXPECT_LE(wanted(tokens, 1, now), row.most) << row.operations_per_second;
        EXPECT_EQ(wanted(tokens, 0, now + 10s), 0U) << row.operations_per_second;
    }
}

// The home was asked again for each operation of a refused account.
TEST(entry_tokens, home_is_not_asked_before_the_told_time)
{
    entry_tokens tokens;
    tokens.record_answer({.retry_after = 300ms}, 350ms, start, start);
    EXPECT_EQ(wanted(tokens, 50, start + 299ms), 0U);
    EXPECT_EQ(tokens.decide(start + 100ms), operation_step::refuse);
    EXPECT_EQ(tokens.retry_after(start + 100ms), 200ms);
    EXPECT_EQ(wanted(tokens, 1, start + 300ms), 1U);
    EXPECT_EQ(tokens.decide(start + 300ms), operation_step::wait);
    // A flood that ended must not shut the account out for long.
    tokens.record_answer({.retry_after = 9s}, 350ms, start, start);
    EXPECT_EQ(tokens.retry_after(start + 900ms), 8100ms);
    EXPECT_EQ(tokens.decide(start + 1s), operation_step::wait);
}

// Operations were refused at once when a home was lost, or ran without limit.
TEST(entry_tokens, silent_home_allows_the_last_rate_for_a_short_time)
{
    entry_tokens tokens;
    auto now = start;
    for (; now < start + 5s; now += 100ms) {
        tokens.record_answer({.granted = 5}, 350ms, now, now);
        EXPECT_EQ(admitted(tokens, 5, now), 5U);
    }
    tokens.record_silence(now);
    EXPECT_EQ(admitted(tokens, 100, now), 1U);
    EXPECT_NEAR(admitted(tokens, 100, now + 200ms), 10, 1);
    EXPECT_NEAR(admitted(tokens, 100, now + 1s), 14, 1);
    EXPECT_EQ(admitted(tokens, 100, now + 1400ms), 0U);
    EXPECT_EQ(tokens.decide(now + 2s), operation_step::refuse);
    EXPECT_GT(tokens.retry_after(now + 2s), 0ms);
    auto reported = tokens.unreported();
    EXPECT_NEAR(reported, 25, 1);
    // A second silence in the same window allows nothing more.
    tokens.record_answer({.granted = 1}, 350ms, now + 2s, now + 2s);
    tokens.record_reported(reported);
    EXPECT_EQ(tokens.unreported(), 0U);
    EXPECT_EQ(admitted(tokens, 5, now + 2s), 1U);
    tokens.record_silence(now + 2s);
    EXPECT_EQ(admitted(tokens, 100, now + 2500ms), 0U);
}

// A silent home was asked for each operation.
TEST(entry_tokens, silent_home_is_asked_again_after_a_pause)
{
    entry_tokens tokens;
    tokens.record_silence(start);
    EXPECT_EQ(wanted(tokens, 1, start + 199ms), 0U);
    EXPECT_EQ(wanted(tokens, 1, start + 200ms), 1U);
    tokens.forget_home();
    EXPECT_EQ(tokens.decide(start), operation_step::wait);
}

} // namespace papayabridge
