/// \file pool_view.hpp
/// An entry's immutable snapshot of services and members.

#pragma once

#include "core/routing/gate_placement.hpp"

#include <optional>
#include <papayabridge/control_state.hpp>
#include <papayabridge/links.hpp>
#include <papayabridge/pooled_configuration.hpp>

namespace papayabridge {

/// The location of this entry, and the region of each failure domain.
struct entry_location
{
    domain_name domain;
    region_name region;
    std::map<domain_name, region_name> regions;

    /// 0 for the same failure domain, 1 for the same region, 2 otherwise.
    unsigned distance_to(const domain_name& other) const
    {
        return distance_between(domain, other);
    }
    /// The same for two failure domains.
    unsigned distance_between(const domain_name& one, const domain_name& other) const;

private:
    region_name region_of(const domain_name& known) const;
};

/// A member as an entry sees it.
struct viewed_member
{
    member_run run;
    tcp::endpoint endpoint;
    unsigned distance = 0;
    unsigned slots = 1;
    bool leaving = false;
    domain_name domain;
    /// Number of its gates, and the limits of each.
    std::size_t gates = 1;
    gate_limits gate;
};

/// Another entry, or this one, that can be the gate of members.
struct viewed_entry
{
    tcp::endpoint endpoint;
    domain_name domain;

    friend bool operator==(const viewed_entry&, const viewed_entry&) = default;
};

/// A service as an entry sees it.
struct viewed_service
{
    pooled_service_limits limits;
    /// Nearest first.
    std::vector<viewed_member> members;
    member_id primary;
    std::uint64_t primary_changes = 0;
    bool is_changing = false;
    /// See pooled_service.
    control_index suspected_since;
    /// Members whose promotion may take effect; see promotion.
    std::vector<member_id> promotion_targets;
    /// Whether statements go through the gates of the members.
    bool through_gates = false;

    /// Member \p id, or null.
    const viewed_member* member(const member_id& id) const;
};

/// The configuration in force with the services and members known to the entry.
struct pool_view
{
    pooled_configuration configuration;
    std::map<service_name, viewed_service> services;
    /// A leaving member is given no new statement once it has been leaving for this
    /// long.
    std::chrono::milliseconds leaving_limit{std::chrono::seconds(5)};
    /// When the view before this one was last known to be current; empty if there was
    /// none.
    std::optional<time_point> current_before;
    /// Number of entries that share the members' connections.
    std::size_t entries = 1;
    /// Entries that can be gates.
    std::map<entry_id, viewed_entry> gate_entries;
    entry_location location;

    const pooled_route* route(const database_name& database) const;
    const viewed_service* service(const service_name& name) const;
};

/// Builds the view of \p state with an already decoded configuration. \p location
/// determines the distances of members.
pool_view make_view(const control_state& state, pooled_configuration configuration,
                    const entry_location& location);

} // namespace papayabridge
