#include "core/observability/page_text_test.hpp"

#include <gtest/gtest.h>
#include <papayabridge/error.hpp>
#include <sstream>

namespace papayabridge {

// The operators' page has the row of each kind, as the table has it.
TEST(error_table_page, has_every_row)
{
    auto page = text_of_file(PAPAYABRIDGE_SOURCE_FOLDER "/docs/OPERATIONS.md");
    for (const auto& row : error_answers()) {
        std::ostringstream line;
        line << "\n| `" << row.name << "` | " << row.http_status << " | "
             << to_string(row.ran) << " | " << to_string(row.advice) << " | ";
        EXPECT_NE(page.find(line.str()), std::string::npos) << line.str();
    }
}

} // namespace papayabridge
