#include "core/observability/page_text_test.hpp"

#include <gtest/gtest.h>
#include <papayabridge/json.hpp>
#include <papayabridge/log.hpp>
#include <regex>
#include <set>
#include <sstream>

namespace papayabridge {

namespace {

// A call in a source file that begins with an event: log_line() and those like it.
struct logged
{
    std::string where;
    std::string event;
    std::set<std::string> fields;
};

// The end of the argument list that opens at `from`.
std::size_t end_of_call(const std::string& text, std::size_t from)
{
    int depth = 0;
    for (auto at = from; at < text.size(); ++at) {
        depth += text[at] == '(' ? 1 : 0;
        depth -= text[at] == ')' ? 1 : 0;
        if (depth == 0) {
            return at;
        }
    }
    return text.size();
}

std::vector<logged> calls_in(const std::filesystem::path& file)
{
    static const std::regex event("log_event::(\\w+)");
    static const std::regex field("\\{\\s*\"(\\w+)\"");
    std::vector<logged> found;
    auto text = text_of_file(file);
    static const std::regex opening("\\(\\s*log_event::");
    for (std::sregex_iterator next(text.begin(), text.end(), opening), end; next != end;
         ++next)
    {
        auto at = static_cast<std::size_t>(next->position());
        auto call = text.substr(at, end_of_call(text, at) - at);
        std::smatch match;
        if (!std::regex_search(call, match, event)) {
            continue;
        }
        logged one{.where = file.filename().string(), .event = match[1]};
        for (std::sregex_iterator next(call.begin(), call.end(), field), end; next != end;
             ++next) {
            one.fields.insert((*next)[1]);
        }
        found.push_back(std::move(one));
    }
    return found;
}

std::vector<logged> calls_in_sources()
{
    std::vector<logged> found;
    const std::filesystem::path root = PAPAYABRIDGE_SOURCE_FOLDER;
    for (const auto* folder : {"src", "platform"}) {
        for (const auto& file :
             std::filesystem::recursive_directory_iterator(root / folder)) {
            bool is_source = file.path().extension() == ".cpp" &&
                             file.path().string().find("_test.cpp") == std::string::npos;
            if (is_source) {
                auto calls = calls_in(file.path());
                found.insert(found.end(), calls.begin(), calls.end());
            }
        }
    }
    return found;
}

std::set<std::string> fields_of(const log_event_row& row)
{
    std::set<std::string> names;
    std::istringstream words{std::string(row.fields)};
    for (std::string name; words >> name;) {
        names.insert(name);
    }
    return names;
}

const log_event_row* find_row(const std::string& name)
{
    for (const auto& row : log_events()) {
        if (row.name == name) {
            return &row;
        }
    }
    return nullptr;
}

} // namespace

TEST(log_events, every_line_in_the_sources_has_only_fields_of_the_list)
{
    for (const auto& call : calls_in_sources()) {
        const auto* row = find_row(call.event);
        ASSERT_NE(row, nullptr) << call.where << " " << call.event;
        auto known = fields_of(*row);
        for (const auto& field : call.fields) {
            EXPECT_EQ(known.count(field), 1u)
                << call.where << ": " << call.event << " has no field " << field;
        }
    }
}

TEST(log_events, every_event_and_field_of_the_list_is_written_somewhere)
{
    std::map<std::string, std::set<std::string>> written;
    for (const auto& call : calls_in_sources()) {
        written[call.event].insert(call.fields.begin(), call.fields.end());
    }
    // statement_report.cpp chooses the event of these at run time.
    for (const auto* event : {"statement_refused", "statement_in_doubt",
                              "statement_failed", "statement_late", "statement_answered"})
    {
        const auto* row = find_row(event);
        ASSERT_NE(row, nullptr) << event;
        written[event] = fields_of(*row);
    }
    for (const auto& row : log_events()) {
        auto fields = fields_of(row);
        EXPECT_EQ(written.count(std::string(row.name)), 1u) << row.name;
        EXPECT_EQ(written[std::string(row.name)], fields) << row.name;
    }
}

TEST(log_events, the_page_lists_each_event_with_its_class_and_fields)
{
    auto page = text_of_file(PAPAYABRIDGE_SOURCE_FOLDER "/docs/LOGS.md");
    constexpr std::array<std::string_view, 4> classes{"change", "failure", "trouble",
                                                      "ordinary"};
    for (const auto& row : log_events()) {
        std::ostringstream line;
        line << "\n| `" << row.name << "` | "
             << classes[static_cast<std::size_t>(row.kind)] << " | " << row.fields
             << " | ";
        EXPECT_NE(page.find(line.str()), std::string::npos) << line.str();
    }
    for (const auto& row : log_events()) {
        for (const auto& field : fields_of(row)) {
            EXPECT_NE(page.find("\n| `" + field + "` | "), std::string::npos) << field;
        }
    }
}

TEST(log_events, a_line_is_json_whatever_the_text_holds)
{
    std::string hostile("a\"b\\c\n\x01\xff", 8);
    auto line = format_log_line(
        log_event::statement_refused, 7, "entry-1",
        {{"request", hostile}, {"attempts", log_number(3)}, {"detail", "plain"}});
    EXPECT_EQ(line.find('\n'), std::string::npos);
    auto read = parse_json(line);
    ASSERT_TRUE(read) << line;
    EXPECT_EQ(text_of(read.value(), "event"), "statement_refused");
    EXPECT_EQ(text_of(read.value(), "process"), "entry-1");
    EXPECT_EQ(number_of(read.value(), "stamp"), 7u);
    EXPECT_EQ(number_of(read.value(), "attempts"), 3u);
    EXPECT_EQ(text_of(read.value(), "request").substr(0, 5), "a\"b\\c");
}

} // namespace papayabridge
