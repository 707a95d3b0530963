#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/json.hpp>
#include <papayabridge/log.hpp>
#include <papayabridge/settings.hpp>
#include <rapidcheck/gtest.h>

namespace papayabridge {

using testing::HasSubstr;

// Reads the settings of an example program and returns their problems.
static std::string read_and_list_problems(settings_document document)
{
    settings_section root(document);
    root.text("id");
    root.endpoint("rpc");
    auto slots = root.number("slots", {1, 10}, 5);
    auto connections = root.number("connections", {1, 100}, 35);
    if (slots > connections) {
        root.report_invalid("slots", "at most \"connections\"");
    }
    root.flag("verbose", false);
    root.endpoints("keepers");
    auto timing = root.section("timing");
    timing.duration("heartbeat_ms", {10, 1000}, std::chrono::milliseconds(100));
    timing.report_unknown_members();
    for (auto& peer : root.list("peers")) {
        peer.text("id");
        peer.report_unknown_members();
    }
    root.report_unknown_members();
    return document.problem_text();
}

static std::string problems_of(const std::string& text)
{
    return read_and_list_problems(settings_document::parse("x.json", text));
}

// Settings with the required members, and `extra_members` on line 2.
static std::string settings_with(const std::string& extra_members)
{
    return "{\"id\": \"a\", \"rpc\": \"127.0.0.1:1\"\n" + extra_members + "}";
}

TEST(settings, valid_settings_pass_and_unknown_name_is_reported)
{
    EXPECT_EQ(problems_of(settings_with(", // a comment\n \"slots\": 3")), "");
    EXPECT_EQ(problems_of(settings_with(", \"rpc2\": 1")),
              "x.json:2: rpc2 (unknown): 1; accepted: one of: connections id keepers "
              "peers rpc slots timing verbose\n");
}

TEST(settings, problem_states_file_line_path_value_and_accepted)
{
    struct invalid_settings
    {
        std::string text;
        const char* problem;
    };
    const std::vector<invalid_settings> invalid_texts{
        {"{\"rpc\": \"127.0.0.1:1\"}", "x.json:1: id (missing); accepted: a string"},
        {settings_with(", \"id2\": {}"), "x.json:2: id2 (unknown): {}; accepted: one of"},
        {settings_with(", \"slots\": \"5\""),
         "x.json:2: slots: \"5\"; accepted: a whole number"},
        {settings_with(", \"slots\": 0"),
         "slots: 0; accepted: a whole number from 1 to 10"},
        {settings_with(", \"slots\": 11"),
         "slots: 11; accepted: a whole number from 1 to 10"},
        {settings_with(", \"slots\": -1"),
         "slots: -1; accepted: a whole number from 1 to 10"},
        {settings_with(", \"slots\": 1.5"),
         "slots: 1.5; accepted: a whole number from 1 to 10"},
        {settings_with(", \"slots\": 99999999999999999999"), "x.json:2: slots: 1"},
        {settings_with(", \"verbose\": 1"),
         "x.json:2: verbose: 1; accepted: true or false"},
        {settings_with(", \"keepers\": 1"), "x.json:2: keepers: 1; accepted: a list of"},
        {settings_with(", \"keepers\": [\"localhost:1\"]"),
         "keepers: \"localhost:1\"; accepted"},
        {settings_with(", \"keepers\": [\"127.0.0.1:65536\"]"),
         "65536\"; accepted: \"ADDRESS"},
        {settings_with(", \"timing\": 3"), "x.json:2: timing: 3; accepted: an object"},
        {settings_with(", \"timing\":\n{\"heartbeat_ms\": 5}"),
         "x.json:3: timing.heartbeat_ms: 5; accepted: a whole number from 10 to 1000"},
        {settings_with(", \"timing\": {\"beat\": 5}"),
         "x.json:2: timing.beat (unknown): 5"},
        {settings_with(", \"peers\": [{\"id\": \"b\"},\n{}]"),
         "x.json:3: peers[1].id (missing);"},
        {settings_with(", \"peers\": [7]"), "x.json:2: peers[0]: 7; accepted: an object"},
        {settings_with(", \"connections\": 2"), "x.json:1: slots"},
        {settings_with(", \"slots\": 3, \"connections\": 2"),
         "x.json:2: slots: 3; accepted: at"},
        {settings_with(", \"id\": \"b\""), "x.json:2: (file): not valid JSON: "},
        {settings_with(",\n\n oops"), "x.json:4: (file): not valid JSON: "},
        {"", "x.json:1: (file): not valid JSON: "},
        {"[]", "x.json:1: (file): []; accepted: an object\n"},
        {"{\"a\": \"\xFF\"}", "x.json: (file): the JSON text is not valid UTF-8"},
        {std::string(50, '['), "nested deeper than 16 levels"},
    };
    for (const auto& [text, problem] : invalid_texts) {
        EXPECT_THAT(problems_of(text), HasSubstr(problem)) << text;
    }
}

TEST(settings, all_problems_are_reported_together)
{
    auto problems =
        problems_of("{\"id\": 1, \"rpc\": 2, \"slots\": 3, \"connections\": 2,\n"
                    "\"verbose\": 4, \"timing\": 5, \"peers\": 6, \"more\": 7}");
    EXPECT_EQ(std::count(problems.begin(), problems.end(), '\n'), 7) << problems;
}

TEST(settings, unreadable_file_is_the_only_problem)
{
    EXPECT_EQ(problems_of(settings_with(",")).find("missing"), std::string::npos);
    for (const auto* file : {"/none/such.json", "/tmp"}) {
        EXPECT_EQ(read_and_list_problems(settings_document::open(file)),
                  std::string(file) + ": (file); accepted: a file that can be read\n");
    }
}

TEST(settings, long_value_is_cut_at_character_boundary)
{
    std::string value;
    for (int i = 0; i < 100; ++i) {
        value += "\xC4\x90";
    }
    for (const auto* first : {"", "a"}) {
        EXPECT_TRUE(is_utf8(
            problems_of(settings_with(", \"slots\": \"" + (first + value) + "\""))));
    }
}

RC_GTEST_PROP(settings_property, any_text_is_accepted_or_reported,
              (const std::string& text))
{
    problems_of(text);
    auto almost_valid = settings_with(", \"slots\": " + text);
    auto problems = problems_of(almost_valid);
    RC_ASSERT(problems.empty() || problems.starts_with("x.json"));
}

TEST(settings, log_rates_are_checked_with_other_settings)
{
    auto document = settings_document::parse(
        "f", R"({"log": {"ordinary_a_second": 5, "troubles_a_second": -1, "often": 1}})");
    settings_section root(document);
    auto rates = read_log_rates(root);
    EXPECT_EQ(rates.ordinary, 5u);
    EXPECT_EQ(rates.changes, log_rates().changes);
    EXPECT_EQ(document.problems().size(), 2u) << document.problem_text();
}

TEST(settings, absent_log_rates_use_defaults)
{
    auto document = settings_document::parse("f", "{}");
    settings_section root(document);
    EXPECT_EQ(read_log_rates(root).troubles, log_rates().troubles);
    EXPECT_TRUE(document.problems().empty()) << document.problem_text();
}

} // namespace papayabridge
