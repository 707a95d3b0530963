#include "keeper_settings.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

constexpr number_range timing_range_ms{10, 600'000};
constexpr number_range lost_disks_range{0, 20};
constexpr number_range snapshot_interval_range{10, 1'000'000};

void check_peers(settings_section& section, const keeper_settings& settings)
{
    auto self_count = std::count_if(
        settings.peers.begin(), settings.peers.end(), [&](const keeper_address& peer) {
            return peer.id == settings.id && peer.rpc == settings.rpc;
        });
    if (self_count != 1) {
        section.report_invalid(
            "peers", "a list of all keepers that has this one once, with its rpc");
    }
    for (const auto& peer : settings.peers) {
        auto same_id_count = std::count_if(
            settings.peers.begin(), settings.peers.end(),
            [&peer](const keeper_address& other) { return other.id == peer.id; });
        if (same_id_count > 1) {
            section.report_invalid("peers", "each id once");
            return;
        }
    }
}

} // namespace

keeper_settings read_keeper_settings(settings_section& section)
{
    keeper_settings settings;
    settings.id = keeper_id(section.text("id"));
    settings.domain = domain_name(section.text("domain"));
    settings.region = region_name(section.text("region"));
    settings.log = read_log_rates(section);
    settings.rpc = section.endpoint("rpc");
    settings.data = section.text("data");
    settings.fleet_key = section.text("fleet_key");
    for (auto& peer_section : section.list("peers")) {
        keeper_address peer;
        peer.id = keeper_id(peer_section.text("id"));
        peer.rpc = peer_section.endpoint("rpc");
        peer_section.report_unknown_members();
        settings.peers.push_back(std::move(peer));
    }
    settings.seeds = section.seeds();
    settings.is_first_start = section.flag("first_start", false);
    if (section.has("disks_that_may_be_lost")) {
        // With 2n + 1 voters, a majority remains after the loss of n disks.
        settings.voter_count =
            2 * section.number("disks_that_may_be_lost", lost_disks_range) + 1;
    }
    if (section.has("metrics")) {
        settings.metrics = section.endpoint("metrics");
    }
    if (settings.seeds.empty()) {
        check_peers(section, settings);
    }
    settings.links = link_table::read(section);
    settings.test_faults = section.flag("test_faults", false);
    settings.election_timeout = section.duration("election_timeout_ms", timing_range_ms,
                                                 settings.election_timeout);
    settings.heartbeat =
        section.duration("heartbeat_ms", timing_range_ms, settings.heartbeat);
    settings.entry_timeout =
        section.duration("entry_timeout_ms", timing_range_ms, settings.entry_timeout);
    settings.transition_timeout = section.duration(
        "transition_timeout_ms", timing_range_ms, settings.transition_timeout);
    settings.snapshot_interval = section.number("snapshot_every", snapshot_interval_range,
                                                settings.snapshot_interval);
    if (settings.heartbeat * 2 > settings.election_timeout) {
        section.report_invalid("heartbeat_ms", "at most half of election_timeout_ms");
    }
    return settings;
}

} // namespace papayabridge
