/// \file session_settings.hpp
/// The settings of an entry that serves sessions on long connections.

#pragma once

#include "pool_view.hpp"

#include <papayabridge/log.hpp>

namespace papayabridge {

/// What such an entry reads from its settings file.
struct session_settings
{
    entry_id id;
    entry_location location;
    log_rates log;
    /// Where callers connect.
    tcp::endpoint callers;
    /// Where metrics are served; nothing if they are not.
    std::optional<tcp::endpoint> metrics;
    std::string fleet_key;
    /// Where keepers may be found.
    std::vector<tcp::endpoint> seeds;
    /// A member that leaves takes statements for so long.
    std::chrono::milliseconds member_drain{7000};
    /// From the signal to stop until the process is ended by force.
    std::chrono::milliseconds stop_grace{6000};
};

/// Reads the settings; members of other sections are left to their readers.
session_settings read_session_settings(settings_section& section);

} // namespace papayabridge
