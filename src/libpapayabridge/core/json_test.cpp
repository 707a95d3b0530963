#include <gtest/gtest.h>
#include <papayabridge/json.hpp>
#include <rapidcheck/gtest.h>

namespace papayabridge {

TEST(json, refuses_malformed_text)
{
    for (const auto* text :
         {"", "{", "[1,]", "{\"a\":1,\"a\":2}", "{} x", "1", "\"a\"", "{\"a\":NaN}",
          "// no\n{}", "{\"a\":\"\xC0\xAF\"}", "{\"a\":\"\xED\xA0\x80\"}"})
    {
        EXPECT_FALSE(parse_json(text)) << text;
    }
}

// Such a text was taken and written to the keepers' log, from which nobody could read it.
TEST(json, refuses_escapes_that_decode_to_invalid_utf8)
{
    for (const auto* text :
         {R"({"zone":"a\udc80"})", R"({"zone":"\uDFFF b"})", R"({"\udc80":1})",
          R"({"a":[{"b":["\udc00"]}]})", R"({"zone":"\ud800"})"})
    {
        EXPECT_FALSE(parse_json(text)) << text;
    }
    EXPECT_TRUE(parse_json(R"({"zone":"\ud83d\ude00 \u00e9 \u0000"})"));
}

TEST(json, invalid_utf8_is_replaced_byte_by_byte)
{
    EXPECT_EQ(replace_invalid_utf8("a\xC3\xA9 z"), "a\xC3\xA9 z");
    EXPECT_EQ(replace_invalid_utf8("\xFF\""), "\xEF\xBF\xBD"
                                              "ff\"");
    EXPECT_EQ(replace_invalid_utf8("\xE3\"\x80"), "\xEF\xBF\xBD"
                                                  "e3\"\xEF\xBF\xBD"
                                                  "80");
}

TEST(json, refuses_deep_nesting)
{
    std::string deep = std::string(100000, '[') + std::string(100000, ']');
    EXPECT_FALSE(parse_json(deep));
}

TEST(json, accepts_comments_where_asked)
{
    json_options options;
    options.allow_comments = true;
    EXPECT_TRUE(parse_json("// a comment\n{\"a\": 1}", options));
}

RC_GTEST_PROP(json_property, replaced_text_is_utf8_and_keeps_what_was_valid,
              (const std::vector<std::uint8_t>& bytes))
{
    std::string text(bytes.begin(), bytes.end());
    auto replaced = replace_invalid_utf8(text);
    RC_ASSERT(is_utf8(replaced));
    RC_ASSERT((replaced == text) == is_utf8(text));
}

RC_GTEST_PROP(json_property, any_text_is_read_or_refused, (const std::string& text))
{
    auto parsed = parse_json(text);
    if (parsed) {
        RC_ASSERT(parse_json(to_json(parsed.value())).has_value());
    }
}

} // namespace papayabridge
