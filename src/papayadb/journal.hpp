/// \file journal.hpp
/// The synced file of a member: accepted terms, log entries and cuts, a line each.

#pragma once

#include "member_state.hpp"

#include <papayabridge/error.hpp>
#include <string>

namespace papayadb {

/// A log entry as JSON, for the file and for replicas.
Json::Value to_value(const log_entry& entry);
/// The entry in \p value; nothing if it is malformed.
std::optional<log_entry> entry_of(const Json::Value& value);

/// Writes what a member must not forget. Without a folder it keeps nothing.
class journal
{
public:
    journal() = default;
    ~journal();
    journal(const journal&) = delete;
    journal& operator=(const journal&) = delete;

    /// Opens \p folder (made if absent), reads it back into \p state, and drops a torn
    /// last line.
    papayabridge::result<void> open(const std::string& folder, member_state& state);

    void accepted(papayabridge::term accepted);
    void appended(const log_entry& entry);
    void truncated(papayabridge::log_index index);
    /// Syncs what was written; the process ends if it cannot.
    void sync();

private:
    void write(const Json::Value& line);

    int file_ = -1;
};

} // namespace papayadb
