/// \file record.hpp
/// Framing of records in a file: magic number, payload length, checksum, payload.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace papayabridge {

/// Returns \p payload framed as one record.
std::string encode_record(std::string_view payload);

/// What follows the last valid record of a file.
enum class record_tail
{
    none,
    /// An incomplete write: no valid record follows.
    torn,
    /// A damaged record with a valid one after it.
    damaged
};

/// The valid records at the start of a file.
struct record_list
{
    std::vector<std::string> payloads;
    /// Length of all records before the tail.
    std::size_t valid_bytes = 0;
    record_tail tail = record_tail::none;
};

/// Decodes records until the end of \p bytes or the first invalid record.
record_list decode_records(std::string_view bytes);

} // namespace papayabridge
