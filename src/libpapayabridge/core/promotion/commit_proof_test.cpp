#include "commit_proof.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

std::vector<member_id> ids(const std::vector<std::string>& names)
{
    return {names.begin(), names.end()};
}

position at(std::uint64_t of_term, std::uint64_t index)
{
    return {.term = term(of_term), .index = log_index(index)};
}

} // namespace

// Commits were lost: an entry that reached the primary, but no keeper, acknowledged them
// with the copy of a replica that had just started, after another replica's promotion was
// ordered.
TEST(commit_proof, entry_without_recent_news_asks_the_replicas_that_keepers_know)
{
    struct row
    {
        const char* committed_by;
        unsigned copies;
        bool is_changing;
        bool is_suspected;
        std::vector<std::string> targets;
        int age_ms;
        std::vector<std::string> replicas;
        std::size_t count;
    };
    const row rows[] = {
        {"p", 1, false, false, {}, 300, {}, 0},
        {"p", 1, false, false, {}, 800, {"a", "b"}, 1},
        {"p", 2, false, false, {}, 800, {"a", "b"}, 2},
        {"p", 0, true, false, {"a"}, 800, {}, 0},
        {"p", 1, true, false, {}, 0, {"a", "b"}, 1},
        {"p", 1, false, true, {}, 0, {"a", "b"}, 1},
        {"p", 1, true, true, {"a"}, 0, {"a"}, 1},
        {"p", 1, true, false, {"a"}, 0, {"a"}, 1},
        {"p", 1, true, false, {"a"}, 800, {"a"}, 1},
        {"p", 1, true, false, {"a", "b"}, 0, {"a", "b"}, 2},
        // The primary itself is ordered again.
        {"p", 1, true, false, {"p"}, 0, {"a", "b"}, 1},
        {"p", 1, true, false, {"p", "b"}, 0, {"b"}, 1},
        // The target was recorded by an earlier version.
        {"p", 1, true, false, {""}, 0, {""}, 1},
        // The primary was replaced while the commit waited.
        {"b", 1, false, false, {}, 0, {"p"}, 1},
    };
    for (const auto& row : rows) {
        auto proof = required_proof({.committed_by = member_id(row.committed_by),
                                     .primary = member_id("p"),
                                     .replicas = ids({"a", "b"}),
                                     .copies = row.copies,
                                     .is_changing = row.is_changing,
                                     .is_suspected = row.is_suspected,
                                     .targets = ids(row.targets),
                                     .age = milliseconds(row.age_ms)});
        EXPECT_EQ(proof.replicas, ids(row.replicas));
        EXPECT_EQ(proof.count, row.count);
    }
}

TEST(commit_proof, replica_holds_a_commit_only_in_the_term_of_its_primary)
{
    struct row
    {
        std::size_t count;
        std::map<member_id, position> held;
        proof_state state;
    };
    auto a = member_id("a");
    auto b = member_id("b");
    const row rows[] = {
        {0, {}, proof_state::holds},
        {1, {}, proof_state::open},
        {1, {{a, at(2, 6)}}, proof_state::open},
        {1, {{a, at(2, 7)}}, proof_state::holds},
        {1, {{a, at(3, 9)}}, proof_state::open},
        {1, {{a, at(3, 9)}, {b, at(2, 8)}}, proof_state::holds},
        {1, {{a, at(3, 9)}, {b, at(3, 9)}}, proof_state::impossible},
        {2, {{a, at(2, 7)}}, proof_state::open},
        {2, {{a, at(2, 7)}, {b, at(2, 7)}}, proof_state::holds},
        {2, {{a, at(2, 7)}, {b, at(3, 7)}}, proof_state::impossible},
        {1, {{a, at(1, 9)}}, proof_state::open},
    };
    for (const auto& row : rows) {
        commit_proof proof{.replicas = ids({"a", "b"}), .count = row.count};
        EXPECT_EQ(check_proof(proof, at(2, 7), row.held), row.state);
    }
}

} // namespace papayabridge
