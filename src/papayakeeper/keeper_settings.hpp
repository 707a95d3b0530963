/// \file keeper_settings.hpp
/// The settings of a keeper.

#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <papayabridge/ids.hpp>
#include <papayabridge/links.hpp>
#include <papayabridge/log.hpp>
#include <papayabridge/settings.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// One keeper of the group.
struct keeper_address
{
    keeper_id id;
    tcp::endpoint rpc;
};

/// What a keeper reads from its settings file.
struct keeper_settings
{
    keeper_id id;
    domain_name domain;
    region_name region;
    log_rates log;
    tcp::endpoint rpc;
    /// Folder of the files that must survive.
    std::string data;
    std::string fleet_key;
    /// All keepers, itself included; empty if they find each other by their seeds.
    std::vector<keeper_address> peers;
    /// Where keepers may be found.
    std::vector<tcp::endpoint> seeds;
    /// Whether the fleet starts for the first time. Only then do the seeds become the
    /// first voters.
    bool is_first_start = false;
    /// How many keepers vote, where they find each other; 0 for all.
    std::size_t voter_count = 0;
    std::shared_ptr<link_table> links;
    /// Where metrics are served; nothing if they are not.
    std::optional<tcp::endpoint> metrics;
    bool test_faults = false;
    std::chrono::milliseconds election_timeout{400};
    std::chrono::milliseconds heartbeat{80};
    std::chrono::milliseconds entry_timeout{900};
    std::chrono::milliseconds transition_timeout{4000};
    /// Log entries between two snapshots.
    std::uint64_t snapshot_interval = 1000;
};

/// Reads the settings; members of other sections are left to their readers.
keeper_settings read_keeper_settings(settings_section& section);

} // namespace papayabridge
