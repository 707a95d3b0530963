#include "core/control/setting_fields.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/configuration.hpp>
#include <rapidcheck/gtest.h>

namespace papayabridge {

using testing::HasSubstr;

constexpr const char* heading = "service,database,rank,setting,value,unit\n";

static std::string problems_of(const std::string& text)
{
    std::string lines;
    for (const auto& problem : read_sheet(text).problems) {
        lines += problem.str() + "\n";
    }
    return lines;
}

TEST(sheet, rows_and_columns_in_any_order_are_read)
{
    auto read = read_sheet("\xEF\xBB\xBFunit,value,setting,rank,database,service\r\n"
                           "ms,1500,read kind stock,,,oficinas\r\n\r\n"
                           "s,2,target,batch,,oficinas\r\n"
                           ",,,,,\r\n"
                           ",primary,\"durability\",,,oficinas");
    ASSERT_TRUE(read.problems.empty()) << read.problems.front().str();
    const auto& service = read.settings.services.at(service_name("oficinas"));
    EXPECT_EQ(service.ranks[rank::batch].target.count(), 2000);
    EXPECT_EQ(service.read_kinds.at("stock").count(), 1500);
    EXPECT_FALSE(service.majority_durable);
}

TEST(sheet, invalid_cell_is_reported_with_row_and_column)
{
    struct invalid_sheet
    {
        std::string rows;
        const char* problem;
    };
    const std::vector<invalid_sheet> invalid_rows{
        {"a/b,,urgent,target,1,ms", "row 2, column service: a/b; accepted: 1 to 64"},
        {",,urgent,target,1,ms", "row 2, column service: ; accepted"},
        {"a,one,urgent,target,1,ms", "row 2, column database: one; accepted: an empty"},
        {"a,,vip,target,1,ms", "column rank: vip; accepted: urgent, normal or batch"},
        {"a,,urgent,body bytes,1,bytes", "column rank: urgent; accepted: an empty cell"},
        {"a,,urgent,goal,1,ms", "column setting: goal; accepted: one of: target, worth"},
        {"a,,urgent,target,0,ms", "column value: 0; accepted: a whole number from 1 to"},
        {"a,,urgent,target,-1,ms", "column value: -1; accepted"},
        {"a,,urgent,target,1.5,s", "column value: 1.5; accepted"},
        {"a,,urgent,target,18446744073709551615,min",
         "column value: 18446744073709551615"},
        {"a,,urgent,target,1,bytes", "column unit: bytes; accepted: ms, s, min"},
        {"a,,urgent,target,1,", "column unit: ; accepted: ms, s, min"},
        {"a,,urgent,worth,1,ms", "column unit: ms; accepted: an empty cell"},
        {"a,,,durability,all,", "column value: all; accepted: majority or primary"},
        {"a,,,durability,majority,ms", "column unit: ms; accepted: an empty cell"},
        {"a,,,read kind fresh,5,ms", "column value: 5; accepted: 0"},
        {"a,,,read kind ,5,ms", "column setting: read kind; accepted: one of"},
        {"a,,,read kind a b,5,ms", "column setting: read kind a b; accepted: read kind"},
        {"a,,urgent,target,1,ms\na,,urgent,target,2,ms",
         "row 3, column setting: target; accepted: each setting once; row 2"},
        {"a,,urgent,share,60,percent",
         "row 2, column value: urgent 60, normal 30, batch 20; accepted: shares"},
        {"a,,urgent,deadline,100,ms", "row 2, column value: 100 ms deadline; accepted"},
        {"a,,urgent,target,1", "row 2, column (all): 5 cells; accepted: 6 cells"},
        {"a\xFF,,urgent,target,1,ms", "column service: a\\xFF; accepted: valid UTF-8"},
        {std::string("a\0,,urgent,target,1,ms", 22), "a\\x00; accepted: text without"},
        {"a,,urgent,target," + std::string(300, '9') + ",ms", "...; accepted: at most"},
        {"a,,urg\"ent,target,1,ms", "row 2, column rank: broken quotes; accepted"},
        {"a,,\"urgent,target,1,ms", "row 2, column rank: broken quotes; accepted: a cl"},
        {"", "row 2, column (all): ; accepted: at least one row"},
    };
    for (const auto& [rows, problem] : invalid_rows) {
        EXPECT_THAT(problems_of(heading + rows), HasSubstr(problem));
    }
}

TEST(sheet, invalid_heading_is_reported)
{
    EXPECT_THAT(problems_of(""), HasSubstr("row 1, column (all)"));
    EXPECT_THAT(problems_of("service,rank,setting,value,unit\n"),
                HasSubstr("row 1, column database: missing"));
    EXPECT_THAT(problems_of("service,database,rank,rank,setting,value,unit,note\n"),
                HasSubstr("row 1, column note: unknown column"));
    EXPECT_THAT(problems_of("service,database,rank,rank,setting,value,unit,note\n"),
                HasSubstr("row 1, column rank: stands more than once"));
}

TEST(sheet, all_problems_are_reported_with_spreadsheet_row_numbers)
{
    auto read = read_sheet(std::string(heading) + "\n"
                                                  "a b,x,vip,target,0,bytes\r\n"
                                                  "\r\n"
                                                  "a,,ur\"gent,target,1,ms\n"
                                                  "a,,,goal,1,ms\n");
    ASSERT_EQ(read.problems.size(), 7U);
    EXPECT_EQ(read.problems[0].row, 3U);
    EXPECT_EQ(read.problems[5].row, 5U);
    EXPECT_EQ(read.problems[6].row, 6U);
}

TEST(sheet, problem_list_is_bounded)
{
    std::string text = heading;
    for (int i = 0; i < 5000; ++i) {
        text += "a,,,goal,1,ms\n";
    }
    EXPECT_EQ(read_sheet(text).problems.size(), 1001U);
    EXPECT_THAT(problems_of(std::string(5 * 1024 * 1024, 'x')), HasSubstr("at most"));
}

// Generates text that resembles a sheet, to reach the branches behind the heading.
static rc::Gen<std::string> gen_near_valid_sheet()
{
    auto piece = rc::gen::element<std::string>(
        "a", ",", "\"", "\n", "\r", "urgent", "target", "share", "1", "90", "ms",
        "percent", "read kind x", "durability", "\xFF", std::string(1, '\0'), " ");
    auto pieces = rc::gen::container<std::vector<std::string>>(piece);
    return rc::gen::map(pieces, [](const std::vector<std::string>& all) {
        std::string text = heading;
        for (const auto& part : all) {
            text += part;
        }
        return text;
    });
}

static void check_read_settings_are_valid(const std::string& text)
{
    auto read = read_sheet(text);
    if (read.problems.empty()) {
        RC_ASSERT(configuration_from(to_value(read.settings)).has_value());
    }
}

RC_GTEST_PROP(sheet_property, any_bytes_give_settings_or_problems,
              (const std::string& text))
{
    check_read_settings_are_valid(text);
    check_read_settings_are_valid(heading + text);
    check_read_settings_are_valid(*gen_near_valid_sheet());
}

RC_GTEST_PROP(sheet_property, written_sheet_is_read_back, ())
{
    configuration settings;
    for (const auto* name : {"entry-books", "oficinas"}) {
        auto service = default_service_settings(service_name(name));
        for (auto& rank_settings : service.ranks) {
            rank_settings.target = std::chrono::milliseconds(*rc::gen::inRange(1, 1000));
            rank_settings.worth = *rc::gen::inRange(1U, 1'000'000U);
            rank_settings.share_percent = *rc::gen::inRange(0U, 34U);
        }
        service.read_kinds["stock"] =
            std::chrono::milliseconds(*rc::gen::inRange(0, 86'400'000));
        service.majority_durable = *rc::gen::arbitrary<bool>();
        settings.services[service.name] = service;
    }
    auto read = read_sheet(write_sheet(settings));
    RC_ASSERT(read.problems.empty());
    RC_ASSERT(to_value(read.settings) == to_value(settings));
}

} // namespace papayabridge
