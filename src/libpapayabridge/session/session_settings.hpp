/// \file session_settings.hpp
/// Settings of an entry that serves long-lived sessions.

#pragma once

#include "pool_view.hpp"

#include <papayabridge/log.hpp>

namespace papayabridge {

/// The session entry's section of the settings file.
struct session_settings
{
    entry_id id;
    entry_location location;
    log_rates log;
    /// Listening endpoint for callers.
    tcp::endpoint callers;
    /// Listening endpoint for other entries, for which this entry is a gate; empty if it
    /// is never one.
    std::optional<tcp::endpoint> gates;
    /// Listening endpoint for metrics; empty if metrics are disabled.
    std::optional<tcp::endpoint> metrics;
    std::string fleet_key;
    /// Seed endpoints at which keepers may be found.
    std::vector<tcp::endpoint> seeds;
    /// How long a leaving member keeps serving statements.
    std::chrono::milliseconds member_drain{7000};
    /// Time after the acknowledgement of a configuration in which an access key that it
    /// withdrew may still be used; empty if keys need not be withdrawn in time.
    std::optional<std::chrono::milliseconds> key_withdrawal;
    /// Memory held for all callers together, in bytes; empty for a part of the machine's
    /// memory.
    std::optional<std::size_t> caller_memory;
    /// Number of sessions; empty for a part of the process's descriptor limit.
    std::optional<std::size_t> max_sessions;
    /// Time from the stop signal until the process is killed.
    std::chrono::milliseconds stop_grace{6000};
};

/// Reads the settings and leaves keys of other sections to their own readers.
session_settings read_session_settings(settings_section& section);

} // namespace papayabridge
