#include "consensus_codec.hpp"

#include <gtest/gtest.h>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

std::vector<message_body> all_bodies()
{
    log_entry command{.index = control_index(5),
                      .term = keeper_term(2),
                      .body = command_text{R"({"do":"x"})"}};
    log_entry admission{
        .index = control_index(6),
        .term = keeper_term(2),
        .body = admit_keeper{.id = keeper_id("b"), .incarnation = keeper_incarnation(9)}};
    log_entry empty{.index = control_index(7), .term = keeper_term(3)};
    return {
        vote_request{.pre_vote = true, .last_index = control_index(3)},
        vote_response{.granted = true},
        append_request{.previous_index = control_index(4),
                       .previous_term = keeper_term(1),
                       .commit = control_index(4),
                       .entries = {command, admission, empty}},
        append_response{.matched = true, .index = control_index(8)},
        snapshot_request{.snapshot = {.index = control_index(4),
                                      .term = keeper_term(1),
                                      .voters = {{keeper_id("a"), keeper_incarnation(1)}},
                                      .state = "{}"}},
        timeout_now{}};
}

} // namespace

TEST(consensus_codec, every_message_is_read_back)
{
    for (const auto& body : all_bodies()) {
        consensus_message message{.from = keeper_id("a"),
                                  .from_incarnation = keeper_incarnation(~0ULL),
                                  .to = keeper_id("b"),
                                  .term = keeper_term(3),
                                  .body = body};
        auto encoded = encode(message);
        auto decoded = decode(encoded);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded.value().from_incarnation, message.from_incarnation);
        auto again = encode(decoded.value());
        EXPECT_EQ(again.body, encoded.body);
        EXPECT_EQ(again.bulk, encoded.bulk);
    }
}

TEST(consensus_codec, refuses_malformed_messages)
{
    consensus_message message{.body = all_bodies()[2]};
    auto whole = encode(message);
    auto unknown = whole;
    unknown.body["type"] = "other";
    auto cut = whole;
    cut.bulk.pop_back();
    auto gap = whole;
    gap.body["previous_index"] = 1;
    auto no_index = whole;
    no_index.bulk = "[{}]";
    for (const auto& broken : {unknown, cut, gap, no_index, encoded_message()}) {
        auto decoded = decode(broken);
        ASSERT_FALSE(decoded);
        EXPECT_EQ(decoded.error().kind, error_kind::bad_request);
    }
}

} // namespace papayabridge
