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
                                       .leaving = member->leaving});
        }
    }
    std::stable_sort(
        service.members.begin(), service.members.end(),
        [](const auto& a, const auto& b) { return a.distance < b.distance; });
    auto published = pool.services().find(name);
    if (published != pool.services().end()) {
        service.primary = published->second.primary;
        service.primary_changes = published->second.primary_changes;
        service.is_changing = published->second.pending.has_value();
    }
    return service;
}

} // namespace

unsigned entry_location::distance_to(const domain_name& other) const
{
    if (other == domain) {
        return 0;
    }
    auto found = regions.find(other);
    return found != regions.end() && found->second == region ? 1 : 2;
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
    const auto& entries = state.entries();
    auto running = std::count_if(entries.begin(), entries.end(), [](const auto& entry) {
        return entry.second.condition != entry_condition::down;
    });
    view.entries = std::max<std::size_t>(1, static_cast<std::size_t>(running));
    return view;
}

} // namespace papayabridge
