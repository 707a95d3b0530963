/// \file csv_rows.hpp
/// Rows and cells of a CSV text (RFC 4180), over libcsv.

#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabridge {

/// A row that is not blank.
struct csv_row
{
    /// The row number as spreadsheets show it: counted from 1, blank rows included.
    std::size_t number = 0;
    std::vector<std::string> cells;
};

/// A malformed quoted cell. Reading continues with the next line.
struct csv_error
{
    std::size_t row = 0;
    /// Counted from 0.
    std::size_t cell = 0;
    /// The form that is accepted instead, for error messages.
    std::string accepted;
};

/// Callbacks of read_csv(), called in the order of the text.
struct csv_handler
{
    std::function<void(csv_row)> on_row;
    std::function<void(csv_error)> on_error;
};

/// Parses \p text and passes its rows and errors to \p handler. A byte order mark at the
/// start is skipped.
void read_csv(std::string_view text, const csv_handler& handler);

/// Returns \p cell in quotes, with inner quotes doubled.
std::string quote_csv_cell(std::string_view cell);

} // namespace papayabridge
