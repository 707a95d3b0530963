#include "pool_view.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

viewed_service view_service(const service_name& name, const pooled_service_limits& limits,
                            const pool_state& pool, const entry_location& location)
{
    viewed_service service{.limits = limits};
    for (const auto* member : pool.members_of(name)) {
        auto endpoint = parse_endpoint(member->endpoint);
        if (endpoint) {
            service.members.push_back({.run = member->run,
                                       .endpoint = *endpoint,
                                       .distance = location.distance_to(member->domain),
                                       .slots = member->slots,
                                       .leaving = member->leaving,
                                       .domain = member->domain});
        }
    }
    std::stable_sort(
        service.members.begin(), service.members.end(),
        [](const auto& a, const auto& b) { return a.distance < b.distance; });
    auto published = pool.services().find(name);
    if (published != pool.services().end()) {
        service.primary = published->second.primary;
        service.primary_changes = published->second.primary_changes;
        service.suspected_since = published->second.suspected_since;
        const auto& pending = published->second.pending;
        service.is_changing = pending.has_value();
        if (pending) {
            service.promotion_targets = pending->outstanding;
            if (!pending->target.empty()) {
                service.promotion_targets.push_back(pending->target);
            }
        }
    }
    return service;
}

void plan_gates(pool_view& view)
{
    std::map<domain_name, std::size_t> entries;
    for (const auto& [id, entry] : view.gate_entries) {
        ++entries[entry.domain];
    }
    std::map<domain_name, std::size_t> members;
    for (const auto& [name, service] : view.services) {
        for (const auto& member : service.members) {
            ++members[member.domain];
        }
    }
    for (auto& [name, service] : view.services) {
        unsigned slots = 1;
        for (const auto& member : service.members) {
            slots = std::max(slots, member.slots);
        }
        service.through_gates =
            !view.gate_entries.empty() &&
            needs_gates(service.limits.max_connections, slots, view.entries);
        for (auto& member : service.members) {
            member.gates = gate_count(entries[member.domain], members[member.domain]);
            member.gate = limits_of_gate(service.limits.max_connections, member.slots,
                                         member.gates);
        }
    }
}

} // namespace

region_name entry_location::region_of(const domain_name& known) const
{
    if (known == domain) {
        return region;
    }
    auto found = regions.find(known);
    return found == regions.end() ? region_name() : found->second;
}

unsigned entry_location::distance_between(const domain_name& one,
                                          const domain_name& other) const
{
    if (one == other) {
        return 0;
    }
    auto shared = region_of(one);
    return !shared.empty() && shared == region_of(other) ? 1 : 2;
}

const viewed_member* viewed_service::member(const member_id& id) const
{
    auto found = std::find_if(members.begin(), members.end(),
                              [&](const auto& known) { return known.run.id == id; });
    return found == members.end() ? nullptr : &*found;
}

const pooled_route* pool_view::route(const database_name& database) const
{
    auto found = configuration.routes.find(database);
    return found == configuration.routes.end() ? nullptr : &found->second;
}

const viewed_service* pool_view::service(const service_name& name) const
{
    auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

pool_view make_view(const control_state& state, pooled_configuration configuration,
                    const entry_location& location)
{
    pool_view view{.configuration = std::move(configuration)};
    for (const auto& [name, limits] : view.configuration.services) {
        view.services[name] = view_service(name, limits, state.pool(), location);
    }
    view.location = location;
    const auto& entries = state.entries();
    for (const auto& [id, entry] : entries) {
        auto endpoint = parse_endpoint(entry.rpc);
        if (endpoint && entry.condition == entry_condition::up) {
            view.gate_entries[id] = {.endpoint = *endpoint, .domain = entry.domain};
        }
    }
    auto running = std::count_if(entries.begin(), entries.end(), [](const auto& entry) {
        return entry.second.condition != entry_condition::down;
    });
    view.entries = std::max<std::size_t>(1, static_cast<std::size_t>(running));
    plan_gates(view);
    return view;
}

} // namespace papayabridge
