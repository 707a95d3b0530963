#include "session/gate/gate_wire.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

gate_message full_message()
{
    gate_message message;
    message.call = gate_call::run;
    message.transaction = 7;
    message.service = service_name("svc");
    message.member = member_id("i-1");
    message.account = account_name("acme");
    message.scope = run_scope::begin_read_only;
    message.rank = 2;
    message.needs_primary = true;
    message.refuse_if_busy = true;
    message.at_least = position{.term = term(3), .index = log_index(1207)};
    message.wait = std::chrono::milliseconds(100);
    message.time_left = std::chrono::milliseconds(900);
    message.stmt.id = request_id("5c0e");
    message.stmt.verb = statement_verb::write;
    message.stmt.text = "WRITE 1a4 \xff\x01 d";
    message.session.values = {{"a", "1"}, {"b", "x y"}};
    message.shape = prepared_shape{.writes = true, .shape = "q2c"};
    message.writes = true;
    return message;
}

template <class Message>
bool is_decoded_or_refused(const result<Message>& decoded)
{
    return decoded || decoded.error().kind == error_kind::bad_request;
}

statement_answer full_answer()
{
    statement_answer answer;
    answer.rows = {"one", "two \xfe"};
    answer.receipt = "7.1f3";
    answer.failure = fail(error_kind::behind, "not yet");
    answer.phase = session_phase::in_transaction;
    answer.log_position = position{.term = term(1), .index = log_index(2)};
    return answer;
}

} // namespace

TEST(gate_wire, a_request_keeps_all_fields)
{
    auto sent = full_message();
    auto got = decode_gate_message(encode(sent));
    ASSERT_TRUE(got) << got.error().detail;
    const auto& message = got.value();
    EXPECT_EQ(message.call, sent.call);
    EXPECT_EQ(message.transaction, sent.transaction);
    EXPECT_EQ(message.service, sent.service);
    EXPECT_EQ(message.member, sent.member);
    EXPECT_EQ(message.account, sent.account);
    EXPECT_EQ(message.scope, sent.scope);
    EXPECT_EQ(message.rank, sent.rank);
    EXPECT_TRUE(message.needs_primary);
    EXPECT_TRUE(message.refuse_if_busy);
    EXPECT_EQ(message.at_least, sent.at_least);
    EXPECT_EQ(message.wait, sent.wait);
    EXPECT_EQ(message.time_left, sent.time_left);
    EXPECT_EQ(message.stmt.id, sent.stmt.id);
    EXPECT_EQ(message.stmt.verb, sent.stmt.verb);
    EXPECT_EQ(message.stmt.text, sent.stmt.text);
    EXPECT_EQ(message.session.values, sent.session.values);
    EXPECT_EQ(message.shape, sent.shape);
    EXPECT_TRUE(message.writes);
}

TEST(gate_wire, an_execute_keeps_its_name_and_arguments)
{
    auto sent = full_message();
    sent.call = gate_call::run_in_transaction;
    sent.stmt.verb = statement_verb::execute;
    sent.stmt.name = "p1";
    sent.stmt.arguments = "1a4 d";
    auto got = decode_gate_message(encode(sent));
    ASSERT_TRUE(got) << got.error().detail;
    EXPECT_EQ(got.value().stmt.name, "p1");
    EXPECT_EQ(got.value().stmt.arguments, "1a4 d");
    EXPECT_TRUE(got.value().member.empty());
}

TEST(gate_wire, a_response_keeps_all_fields)
{
    gate_response sent{.stage = run_stage::sent,
                       .waited = std::chrono::microseconds(1234),
                       .is_unservable = true,
                       .is_open = true,
                       .answer = full_answer()};
    auto got = decode_gate_response(encode(sent));
    ASSERT_TRUE(got) << got.error().detail;
    EXPECT_EQ(got.value().stage, sent.stage);
    EXPECT_EQ(got.value().waited, sent.waited);
    EXPECT_TRUE(got.value().is_unservable);
    EXPECT_TRUE(got.value().is_open);
    const auto& answer = got.value().answer.value();
    EXPECT_EQ(answer.rows, full_answer().rows);
    EXPECT_EQ(answer.receipt, "7.1f3");
    EXPECT_EQ(answer.failure->kind, error_kind::behind);
    EXPECT_EQ(answer.failure->detail, "not yet");
    EXPECT_EQ(answer.phase, session_phase::in_transaction);
    EXPECT_EQ(answer.log_position, full_answer().log_position);
}

TEST(gate_wire, an_error_without_an_answer_is_kept)
{
    gate_response sent{.stage = run_stage::waiting,
                       .answer = fail(error_kind::overloaded, "full")};
    auto got = decode_gate_response(encode(sent));
    ASSERT_TRUE(got);
    EXPECT_EQ(got.value().answer.error().kind, error_kind::overloaded);
}

TEST(gate_wire, malformed_messages_are_refused_with_a_reason)
{
    for (std::string_view bytes :
         {std::string_view(""), std::string_view("\xc1", 1), std::string_view("\x93\x09"),
          std::string_view("\xdf\xff\xff\xff\xff", 5), std::string_view("abc")})
    {
        auto got = decode_gate_message(bytes);
        ASSERT_FALSE(got);
        EXPECT_EQ(got.error().kind, error_kind::bad_request);
        EXPECT_FALSE(decode_gate_response(bytes));
    }
    auto unknown_call = encode(full_message());
    unknown_call[1] = 0x55;
    EXPECT_FALSE(decode_gate_message(unknown_call));
}

TEST(gate_wire, deeply_nested_messages_are_refused)
{
    EXPECT_FALSE(decode_gate_message(std::string(1'000'000, '\x91')));
    EXPECT_FALSE(decode_gate_response(std::string(1'000'000, '\x81')));
}

// Cut or changed at any byte, a message is decoded or refused; nothing else happens.
RC_GTEST_PROP(gate_wire, damaged_messages_do_no_harm, ())
{
    auto bytes = *rc::gen::element(
        encode(full_message()),
        encode(gate_response{.stage = run_stage::sent, .answer = full_answer()}));
    auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    if (*rc::gen::arbitrary<bool>()) {
        bytes.resize(at);
    } else {
        bytes[at] = *rc::gen::arbitrary<char>();
    }
    RC_ASSERT(is_decoded_or_refused(decode_gate_message(bytes)));
    RC_ASSERT(is_decoded_or_refused(decode_gate_response(bytes)));
}

RC_GTEST_PROP(gate_wire, random_bytes_do_no_harm, (const std::string& bytes))
{
    RC_ASSERT(is_decoded_or_refused(decode_gate_message(bytes)));
    RC_ASSERT(is_decoded_or_refused(decode_gate_response(bytes)));
}

TEST(gate_wire, requests_for_tokens_keep_all_fields)
{
    gate_message message;
    message.call = gate_call::grant_operations;
    message.token_requests = {{.account = account_name("acme"), .wanted = 3, .ahead = 2},
                              {.account = account_name("bolt"), .overspent = 7}};
    auto bytes = encode(message);
    // Control traffic of an entry must stay under 7 kB/s.
    EXPECT_LE(bytes.size(), 24U);
    auto got = decode_gate_message(bytes);
    ASSERT_TRUE(got) << got.error().detail;
    EXPECT_EQ(got.value().token_requests, message.token_requests);

    gate_response response{.answer = statement_answer()};
    response.token_grants = {{.granted = 3},
                             {.retry_after = std::chrono::milliseconds(250)}};
    bytes = encode(response);
    EXPECT_LE(bytes.size(), 8U);
    auto answered = decode_gate_response(bytes);
    ASSERT_TRUE(answered) << answered.error().detail;
    EXPECT_EQ(answered.value().token_grants, response.token_grants);
}

} // namespace papayabridge
