/// \file entry_settings.hpp
/// Settings of one entry process.

#pragma once

#include <papayabridge/ids.hpp>
#include <papayabridge/links.hpp>
#include <papayabridge/log.hpp>
#include <papayabridge/settings.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// What an entry learns from its settings file; see docs/CONFIG.md.
struct entry_settings
{
    entry_id id;
    domain_name domain;
    region_name region;
    log_rates log;
    /// Where callers and other entries connect.
    tcp::endpoint http;
    /// Where other processes call.
    tcp::endpoint rpc;
    /// Folder for the last view of the fleet; empty for none.
    std::string data;
    std::string fleet_key;
    /// Nearest first.
    std::vector<tcp::endpoint> keepers;
    std::size_t traffic_threads = 2;
    std::size_t max_connections = 20000;
    /// Order of queued work: "shares", "fifo" or "strict".
    std::string admission = "shares";
    /// A graceful stop ends after this time even if work is still in progress.
    std::chrono::milliseconds drain_timeout{60000};
    /// Whether links can be cut by request; for tests only.
    bool test_faults = false;
    std::shared_ptr<link_table> links;
};

/// Reads the settings; problems are left in \p document.
entry_settings read_entry_settings(settings_document& document);

} // namespace papayabridge
