/// \file pool_view.hpp
/// An entry's immutable snapshot of services and members.

#pragma once

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
    unsigned distance_to(const domain_name& other) const;
};

/// A member as an entry sees it.
struct viewed_member
{
    member_run run;
    tcp::endpoint endpoint;
    unsigned distance = 0;
    unsigned slots = 1;
    bool leaving = false;
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
};

/// The configuration in force with the services and members known to the entry.
struct pool_view
{
    pooled_configuration configuration;
    std::map<service_name, viewed_service> services;
    /// A leaving member is given no new statement once it has been leaving for this
    /// long.
    std::chrono::milliseconds leaving_limit{std::chrono::seconds(5)};
    /// Number of entries that share the members' connections.
    std::size_t entries = 1;

    const pooled_route* route(const database_name& database) const;
    const viewed_service* service(const service_name& name) const;
};

/// Builds the view of \p state with an already decoded configuration. \p location
/// determines the distances of members.
pool_view make_view(const control_state& state, pooled_configuration configuration,
                    const entry_location& location);

} // namespace papayabridge
