#include "core/observability/metric_table.hpp"
#include "core/observability/page_text_test.hpp"

#include <gtest/gtest.h>
#include <papayabridge/metrics.hpp>
#include <regex>
#include <set>
#include <sstream>

namespace papayabridge {

namespace {

std::set<std::string> metrics_in_sources()
{
    static const std::regex use("(counter|gauge|latency)_of\\(\\s*\"(\\w+)\"");
    std::set<std::string> found;
    const std::filesystem::path root = PAPAYABRIDGE_SOURCE_FOLDER "/src";
    for (const auto& file : std::filesystem::recursive_directory_iterator(root)) {
        auto name = file.path().string();
        if (file.path().extension() != ".cpp" || name.find("_test") != std::string::npos)
        {
            continue;
        }
        auto text = text_of_file(file.path());
        for (std::sregex_iterator next(text.begin(), text.end(), use), end; next != end;
             ++next) {
            found.insert((*next)[2]);
        }
    }
    return found;
}

} // namespace

TEST(metric_table, has_each_metric_of_the_sources_and_no_other)
{
    std::set<std::string> listed;
    for (const auto& row : metric_rows()) {
        listed.insert(std::string(row.name));
    }
    EXPECT_EQ(metrics_in_sources(), listed);
}

TEST(metric_table, the_page_has_every_row)
{
    auto page = text_of_file(PAPAYABRIDGE_SOURCE_FOLDER "/docs/METRICS.md");
    for (const auto& row : metric_rows()) {
        std::ostringstream line;
        line << "\n| `" << row.name << "` | " << row.type << " | " << row.unit << " | "
             << (row.labels.empty() ? "-" : row.labels) << " | " << row.help;
        EXPECT_NE(page.find(line.str()), std::string::npos) << line.str();
    }
}

TEST(metric_table, help_and_unit_stand_before_the_type)
{
    metrics all;
    all.counter_of("papaya_statements_total", {{"rank", "0"}}).add();
    all.gauge_of("a_test_metric").set(1);
    auto text = all.prometheus_text();
    EXPECT_NE(
        text.find("# HELP papaya_statements_total Statements of sessions that members "
                  "had to run, by outcome (statements)\n"
                  "# TYPE papaya_statements_total counter\n"),
        std::string::npos)
        << text;
    EXPECT_NE(text.find("# TYPE a_test_metric gauge\n"), std::string::npos);
}

} // namespace papayabridge
