/// \file sheet_format.hpp
/// Columns, special settings and units of the sheet of settings; see docs/SHEET.md.

#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace papayabridge {

/// The columns, in the order in which write_sheet() writes them.
enum class column : std::size_t
{
    service,
    database,
    rank,
    setting,
    value,
    unit
};
inline constexpr std::size_t column_count = 6;
inline constexpr std::array<std::string_view, column_count> column_names{
    "service", "database", "rank", "setting", "value", "unit"};

inline constexpr std::string_view durability_setting = "durability";
inline constexpr std::string_view read_kind_prefix = "read kind ";

/// A unit that the sheet accepts for settings stored in `base_unit`; a value is
/// multiplied by `factor`.
struct unit_conversion
{
    std::string_view name;
    std::string_view base_unit;
    std::uint64_t factor;
};
inline constexpr std::array<unit_conversion, 9> units{{
    {"", "", 1},
    {"ms", "ms", 1},
    {"s", "ms", 1000},
    {"min", "ms", 60'000},
    {"percent", "percent", 1},
    {"requests", "requests", 1},
    {"bytes", "bytes", 1},
    {"KiB", "bytes", 1024},
    {"MiB", "bytes", 1024ULL * 1024},
}};

} // namespace papayabridge
