#include "setting_fields.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/configuration.hpp>
#include <papayabridge/json.hpp>
#include <rapidcheck/gtest.h>

namespace papayabridge {

using testing::HasSubstr;

static std::string refusal_of(const char* text)
{
    auto read = configuration_from(parse_json(text).value());
    return read ? std::string("accepted") : read.error().detail;
}

TEST(configuration, absent_settings_take_their_defaults)
{
    auto read = configuration_from(parse_json(R"({"services":{"books":{}}})").value());
    ASSERT_TRUE(read);
    configuration expected;
    expected.services[service_name("books")] =
        default_service_settings(service_name("books"));
    EXPECT_EQ(to_value(read.value()), to_value(expected));
    EXPECT_TRUE(configuration_from(Json::Value(Json::objectValue)));
}

TEST(configuration, names_each_problem_by_path_value_and_what_is_accepted)
{
    struct fault
    {
        const char* text;
        const char* path;
        const char* accepted;
    };
    for (const auto& [text, path, accepted] : {
             fault{R"({"service":{}})", "service (unknown): {}", "services"},
             fault{R"({"services":[]})", "services: []", "an object"},
             fault{R"({"services":{"a/b":{}}})", "services.a/b: {}", "a name of 1 to 64"},
             fault{R"({"services":{"a":{"ranks":{"vip":{}}}}})",
                   "services.a.ranks.vip (unknown)", "batch normal urgent"},
             fault{R"({"services":{"a":{"ranks":{"batch":{"worth":0}}}}})",
                   "ranks.batch.worth: 0", "a whole number from 1"},
             fault{R"({"services":{"a":{"ranks":{"batch":{"worth":"x"}}}}})",
                   "ranks.batch.worth: \"x\"", "a whole number from 1"},
             fault{R"({"services":{"a":{"ranks":{"urgent":{"share_percent":60}}}}})",
                   "services.a.ranks", "at most 100 percent together, not 110"},
             fault{R"({"services":{"a":{"ranks":{"urgent":{"deadline_ms":1}}}}})",
                   "ranks.urgent.deadline_ms: 1", "at least the target, 250 ms"},
             fault{R"({"services":{"a":{"read_kinds":{"fresh":5}}}})",
                   "read_kinds.fresh: 5", "0"},
             fault{R"({"services":{"a":{"read_kinds":{"x":-1}}}})", "read_kinds.x: -1",
                   "a whole number from 0"},
             fault{R"({"services":{"a":{"durability":"none"}}})", "durability: \"none\"",
                   "\"majority\" or \"primary\""},
             fault{R"({"services":{"a":{"limits":{"body_bytes":0}}}})",
                   "limits.body_bytes: 0", "a whole number from 1 to 1048576"},
         })
    {
        EXPECT_THAT(refusal_of(text), HasSubstr(path));
        EXPECT_THAT(refusal_of(text), HasSubstr(accepted));
    }
}

TEST(configuration, reports_all_problems_at_once)
{
    auto refusal = refusal_of(R"({"services":{"a":{"durability":"none",
        "limits":{"body_bytes":0},"extra":1,"read_kinds":{"fresh":1}}},"more":2})");
    EXPECT_EQ(std::count(refusal.begin(), refusal.end(), '\n') + 1, 5) << refusal;
}

RC_GTEST_PROP(configuration_property, what_is_written_is_read_again, ())
{
    configuration settings;
    auto service = default_service_settings(service_name("s"));
    for (auto& one : service.ranks) {
        for (const auto& field : rank_fields()) {
            field.store(one, *rc::gen::inRange(field.range.min, field.range.max + 1));
        }
        one.share_percent /= rank_count;
        one.deadline = std::max(one.deadline, one.target);
    }
    for (const auto& field : limit_fields()) {
        field.store(service.limits,
                    *rc::gen::inRange(field.range.min, field.range.max + 1));
    }
    service.read_kinds["stock"] = std::chrono::milliseconds(*rc::gen::inRange(0, 9999));
    service.majority_durable = *rc::gen::arbitrary<bool>();
    settings.services[service.name] = service;
    auto read = configuration_from(to_value(settings));
    RC_ASSERT(read.has_value());
    RC_ASSERT(to_value(read.value()) == to_value(settings));
}

} // namespace papayabridge
