#include <gtest/gtest.h>
#include <papayabridge/token.hpp>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

session_watermarks sample_marks()
{
    session_watermarks marks;
    marks.advance({service_name("books"), database_name("a")}, {term(3), log_index(7)});
    marks.advance({service_name("books"), database_name("b")}, {term(1), log_index(2)});
    return marks;
}

} // namespace

TEST(token, carries_the_marks)
{
    token_codec codec("key");
    auto decoded = codec.decode(codec.encode(sample_marks()));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().by_database(), sample_marks().by_database());
}

TEST(token, an_empty_one_is_a_new_session)
{
    EXPECT_TRUE(token_codec("key").decode("").value().by_database().empty());
}

TEST(token, of_another_fleet_is_refused)
{
    auto foreign = token_codec("other").encode(sample_marks());
    auto decoded = token_codec("key").decode(foreign);
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().kind, error_kind::bad_token);
}

TEST(token, every_truncation_is_refused)
{
    token_codec codec("key");
    auto token = codec.encode(sample_marks());
    for (std::size_t length = 1; length < token.size(); ++length) {
        EXPECT_FALSE(codec.decode(token.substr(0, length))) << length;
    }
}

RC_GTEST_PROP(token_property, every_changed_byte_is_refused, ())
{
    token_codec codec("key");
    auto token = codec.encode(sample_marks());
    auto at = *rc::gen::inRange<std::size_t>(0, token.size());
    auto other = *rc::gen::distinctFrom(token[at]);
    token[at] = other;
    RC_ASSERT(!codec.decode(token));
}

RC_GTEST_PROP(token_property, any_text_is_refused, (const std::string& text))
{
    RC_PRE(!text.empty());
    RC_ASSERT(!token_codec("key").decode(text));
}

} // namespace papayabridge
