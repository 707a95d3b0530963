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

/// Settings file of an entry; see docs/CONFIG.md.
struct entry_settings
{
    entry_id id;
    domain_name domain;
    region_name region;
    log_rates log;
    /// Listen address for callers and other entries.
    tcp::endpoint http;
    /// Listen address for RPC from other processes of the fleet.
    tcp::endpoint rpc;
    /// Folder that stores the last control state and the events; empty for none.
    std::string data_folder;
    std::string fleet_key;
    /// Addresses of the keepers, nearest first.
    std::vector<tcp::endpoint> keepers;
    std::size_t traffic_threads = 2;
    std::size_t max_connections = 20000;
    /// Order of queued statements: "shares", "fifo" or "strict".
    std::string admission = "shares";
    /// A graceful stop ends after this time even if requests are still in progress.
    std::chrono::milliseconds drain_timeout{60000};
    /// Whether an HTTP request may cut links; for tests only.
    bool test_faults = false;
    std::shared_ptr<link_table> links;
};

/// Reads the settings and adds problems to \p document.
entry_settings read_entry_settings(settings_document& document);

} // namespace papayabridge
