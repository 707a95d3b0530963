/// \file metric_table.hpp
/// Every metric of the programs, with its help and labels; docs/METRICS.md shows them.

#pragma once

#include <span>
#include <string_view>

namespace papayabridge {

/// What is known of one metric.
struct metric_row
{
    std::string_view name;
    /// "counter", "gauge" or "histogram".
    std::string_view type;
    std::string_view unit;
    /// Names of its labels, separated by blanks.
    std::string_view labels;
    std::string_view help;
};

/// The list.
std::span<const metric_row> metric_rows() noexcept;
/// The row of \p name, or null.
const metric_row* find_metric(std::string_view name) noexcept;

} // namespace papayabridge
