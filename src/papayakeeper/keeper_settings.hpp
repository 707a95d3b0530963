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

/// Id and address of a keeper.
struct keeper_address
{
    keeper_id id;
    tcp::endpoint rpc;
};

/// The content of a keeper's settings file.
struct keeper_settings
{
    keeper_id id;
    domain_name domain;
    region_name region;
    log_rates log;
    tcp::endpoint rpc;
    /// Folder of the durable files.
    std::string data;
    std::string fleet_key;
    /// All keepers, itself included; empty if they discover each other through `seeds`.
    std::vector<keeper_address> peers;
    /// Addresses at which keepers may be found.
    std::vector<tcp::endpoint> seeds;
    /// Whether the fleet starts for the first time. Only then do the seeds become the
    /// initial voters.
    bool is_first_start = false;
    /// How many of the discovered keepers vote; 0 for all.
    std::size_t voter_count = 0;
    std::shared_ptr<link_table> links;
    /// Address of the metrics page; nothing to serve none.
    std::optional<tcp::endpoint> metrics;
    bool test_faults = false;
    std::chrono::milliseconds election_timeout{400};
    std::chrono::milliseconds heartbeat{80};
    std::chrono::milliseconds entry_timeout{900};
    std::chrono::milliseconds transition_timeout{4000};
    /// Number of log entries between two snapshots.
    std::uint64_t snapshot_interval = 1000;
};

/// Reads the keeper's members of \p section. Does not report unknown members, as the
/// section holds members of other readers.
keeper_settings read_keeper_settings(settings_section& section);

} // namespace papayabridge
