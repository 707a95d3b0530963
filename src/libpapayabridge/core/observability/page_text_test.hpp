/// \file page_text_test.hpp
/// For tests that compare pages with sources.

#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace papayabridge {

/// All of \p file.
inline std::string text_of_file(const std::filesystem::path& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace papayabridge
