#include "packed_text.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

RC_GTEST_PROP(packed_text, gives_back_any_text, (const std::string& text))
{
    auto unpacked = unpack_text(pack_text(text));
    RC_ASSERT(bool(unpacked));
    RC_ASSERT(unpacked.value() == text);
}

RC_GTEST_PROP(packed_text, survives_damage, (std::string text, std::size_t at, char with))
{
    auto packed = pack_text(text);
    packed[at % packed.size()] = with;
    auto unpacked = unpack_text(packed);
    if (unpacked) {
        RC_ASSERT(unpacked.value().size() <= packed_text_limit);
    }
}

TEST(packed_text, is_much_shorter_for_a_list_of_alike_routes)
{
    std::string text;
    for (int i = 0; i < 300; ++i) {
        text += R"({"name":"r-)" + std::to_string(i * 7919) +
                R"(","pathPrefix":"/","timeout":800,"target":250,"service":"svc"},)";
    }
    EXPECT_LT(pack_text(text).size(), text.size() / 4);
}

TEST(packed_text, refuses_what_is_not_packed)
{
    for (const auto* text : {"", ":", "5", "5:", "5:5:", "x:y:AAAA", "5:3:AAA",
                             "99999999999:3:AAAA", "5:3:AAAA", "5:3:!!!!"})
    {
        EXPECT_FALSE(unpack_text(text)) << text;
    }
}

} // namespace papayabridge
