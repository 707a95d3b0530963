#include "memory_budget.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;
using enum memory_refusal;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr memory_limits limits{.total = 16 * mib,
                               .share = 4 * mib,
                               .kept_for_input = mib,
                               .allowance = 4 * kib,
                               .idle_after = 2s};

// A budget of which only \p free bytes are left.
memory_budget budget_with(std::size_t free)
{
    memory_budget budget(limits);
    caller_holdings others;
    budget.set(others, memory_use::values, limits.total - free);
    return budget;
}

const memory_time now = memory_time() + 1h;

reclaim_candidate unopened(std::size_t input)
{
    return {.input = input, .last_progress = now};
}

reclaim_candidate opened(std::size_t input, std::chrono::milliseconds idle = 0ms)
{
    return {.input = input, .is_open = true, .last_progress = now - idle};
}

reclaim_candidate unread(std::size_t output, std::chrono::milliseconds idle)
{
    return {.output = output,
            .is_open = true,
            .is_answering = true,
            .last_progress = now - idle};
}

reclaim_candidate with_values(std::size_t values)
{
    return {.values = values, .is_open = true, .last_progress = now};
}

reclaim_candidate in_transaction(reclaim_candidate candidate)
{
    candidate.has_transaction = true;
    return candidate;
}

reclaim_candidate running(reclaim_candidate candidate)
{
    candidate.is_running = true;
    return candidate;
}

} // namespace

// One caller held as much as all others together, or an ordinary caller was refused
// because others had used the budget up.
TEST(memory_budget, caller_is_refused_beyond_its_share_and_never_below_the_allowance)
{
    struct row
    {
        std::size_t free;
        std::size_t held;
        std::size_t asked;
        std::optional<memory_refusal> refusal;
    };
    const row rows[] = {
        {16 * mib, 0, mib, {}},
        {16 * mib, 3 * mib, mib, {}},
        {16 * mib, 3 * mib, mib + 1, over_share},
        {mib, 0, mib, {}},
        {mib, 0, mib + 1, exhausted},
        {0, 0, 4 * kib, {}},
        {0, 0, 4 * kib + 1, exhausted},
        {0, 3 * kib, kib, {}},
        {0, 3 * kib, kib + 1, exhausted},
    };
    for (const auto& row : rows) {
        auto budget = budget_with(row.free + row.held);
        caller_holdings caller;
        budget.set(caller, memory_use::values, row.held);
        EXPECT_EQ(budget.check(caller, memory_use::input, row.asked), row.refusal)
            << row.free << " " << row.held << " " << row.asked;
    }
}

// A session with many values was closed because its next message did not fit its share.
TEST(memory_budget, values_leave_room_for_a_message)
{
    memory_budget budget(limits);
    caller_holdings caller;
    EXPECT_EQ(budget.check(caller, memory_use::values, 3 * mib + 1), over_share);
    EXPECT_EQ(budget.check(caller, memory_use::values, 3 * mib), std::nullopt);
    budget.set(caller, memory_use::values, 3 * mib);
    EXPECT_EQ(budget.check(caller, memory_use::input, mib), std::nullopt);
}

// A statement of a session with many values was refused in calm, as copies of the values
// exist while it runs.
TEST(memory_budget, what_a_statement_needs_counts_only_in_the_total)
{
    memory_budget budget(limits);
    caller_holdings caller;
    budget.set(caller, memory_use::values, 3 * mib);
    EXPECT_EQ(budget.check(caller, memory_use::statement, 9 * mib), std::nullopt);
    EXPECT_EQ(budget.check(caller, memory_use::statement, 14 * mib), exhausted);
    budget.set(caller, memory_use::statement, 9 * mib);
    EXPECT_EQ(budget.check(caller, memory_use::input, mib), std::nullopt);
    EXPECT_EQ(budget.check(caller, memory_use::input, mib + 1), over_share);
    EXPECT_EQ(budget.check(caller, memory_use::output, 4 * mib), std::nullopt);
    EXPECT_EQ(budget.check(caller, memory_use::output, 5 * mib), exhausted);
}

// A caller's memory stayed accounted after it was freed, until every caller was refused.
TEST(memory_budget, freed_memory_can_be_used_again)
{
    memory_budget budget(limits);
    caller_holdings caller;
    budget.set(caller, memory_use::input, 3 * mib);
    budget.set(caller, memory_use::values, mib);
    EXPECT_EQ(budget.check(caller, memory_use::input, 3 * mib + 1), over_share);
    EXPECT_EQ(budget.check(caller, memory_use::input, 2 * mib), std::nullopt);
    budget.set(caller, memory_use::input, mib);
    EXPECT_EQ(budget.held(), 2 * mib);
    EXPECT_EQ(caller.total(), 2 * mib);
    budget.release(caller);
    EXPECT_EQ(budget.held(), 0U);
    EXPECT_EQ(caller.total(), 0U);
}

// Memory was taken from a session with work while one without any held more than enough,
// or a statement in progress was interrupted. The requester is the last candidate; it
// asks for 1 MiB, and nothing is free.
TEST(memory_budget, memory_is_reclaimed_first_from_those_with_least_to_lose)
{
    struct row
    {
        std::vector<reclaim_candidate> candidates;
        std::vector<std::size_t> victims;
        std::optional<memory_refusal> refusal;
    };
    const row rows[] = {
        // In the order of the steps.
        {{with_values(2 * mib), opened(2 * mib), opened(2 * mib, 3s), unopened(2 * mib),
          opened(mib)},
         {3},
         {}},
        {{with_values(2 * mib), opened(2 * mib), opened(2 * mib, 3s), opened(mib)},
         {2},
         {}},
        {{with_values(2 * mib), opened(2 * mib), opened(mib)}, {1}, {}},
        {{with_values(2 * mib), with_values(mib)}, {0}, {}},
        // The largest, but the oldest of those that are idle.
        {{unopened(mib), unopened(3 * mib), opened(mib)}, {1}, {}},
        {{opened(3 * mib, 3s), opened(2 * mib, 9s), opened(mib)}, {1}, {}},
        {{opened(2 * mib, 3s), unread(2 * mib, 4s), opened(mib)}, {1}, {}},
        // More than one, with the reserve of a sixteenth.
        {{unopened(mib), opened(mib), opened(mib)}, {0, 1}, {}},
        // A new session takes nothing from those that are open.
        {{opened(2 * mib), with_values(2 * mib), unopened(mib)}, {}, unopened_message},
        // The requester holds most itself.
        {{opened(2 * mib), opened(3 * mib)}, {}, incomplete_message},
        {{with_values(2 * mib), with_values(3 * mib)}, {}, most_values},
        // Nothing to reclaim: in progress, in a transaction, or within the allowance.
        {{running(opened(2 * mib, 9s)), opened(mib)}, {}, incomplete_message},
        {{running(with_values(2 * mib)), in_transaction(opened(mib))}, {}, exhausted},
        {{in_transaction(opened(2 * mib)), in_transaction(with_values(2 * mib)),
          in_transaction(opened(mib))},
         {},
         exhausted},
        {{unopened(4 * kib), unread(4 * kib, 9s), in_transaction(opened(mib))},
         {},
         exhausted},
        // A transaction does not protect an idle buffer.
        {{in_transaction(opened(2 * mib, 3s)), opened(mib)}, {0}, {}},
        // An answer that is being read is kept.
        {{unread(2 * mib, 1s), in_transaction(opened(mib))}, {}, exhausted},
    };
    for (const auto& row : rows) {
        auto choice =
            budget_with(0).choose(row.candidates, row.candidates.size() - 1, mib, now);
        std::vector<std::size_t> victims;
        for (const auto& victim : choice.victims) {
            victims.push_back(victim.index);
        }
        auto number = &row - rows;
        EXPECT_EQ(victims, row.victims) << "row " << number;
        EXPECT_EQ(choice.refusal, row.refusal) << "row " << number;
    }
}

// A crowd was closed by the whole budget at once, or one by one for each few bytes.
TEST(memory_budget, no_more_is_reclaimed_than_the_request_and_a_reserve)
{
    std::vector<reclaim_candidate> crowd(16, unopened(mib));
    crowd.push_back(opened(8 * kib));
    auto choice = budget_with(0).choose(crowd, 16, 8 * kib, now);
    EXPECT_EQ(choice.victims.size(), 2U);
}

// A message of the maximum size was refused in calm on the smallest machine.
TEST(memory_budget, default_share_holds_a_message_of_the_maximum_size)
{
    EXPECT_EQ(default_caller_memory(64 * mib), 32 * mib);
    EXPECT_EQ(default_caller_memory(260'000'000), 260'000'000U / 3);
    for (std::size_t machine : {64 * mib, 112 * mib, 260 * mib, 4096 * mib}) {
        auto made = make_memory_limits(default_caller_memory(machine));
        EXPECT_GE(made.share, 4 * mib);
        EXPECT_LE(8 * made.share, made.total);
    }
}

} // namespace papayabridge
