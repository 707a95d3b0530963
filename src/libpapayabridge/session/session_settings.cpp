#include "session_settings.hpp"

namespace papayabridge {

namespace {

constexpr number_range grace_ms{1000, 600'000};
constexpr std::size_t shortest_key = 16;
// A caller's share of less could not hold one message of the maximum size.
constexpr number_range caller_memory_bytes{8 * 1024 * 1024, 1ULL << 40};
constexpr number_range session_count{1, 1'000'000};

} // namespace

session_settings read_session_settings(settings_section& section)
{
    session_settings settings;
    settings.id = entry_id(section.text("id"));
    settings.location.domain = domain_name(section.text("domain"));
    settings.location.region = region_name(section.text("region"));
    settings.log = read_log_rates(section);
    auto regions = section.section("regions");
    for (const auto& domain : regions.member_names()) {
        settings.location.regions[domain_name(domain)] =
            region_name(regions.text(domain.c_str()));
    }
    settings.callers = section.endpoint("callers");
    if (section.has("metrics")) {
        settings.metrics = section.endpoint("metrics");
    }
    if (section.has("gates")) {
        settings.gates = section.endpoint("gates");
    }
    settings.fleet_key = section.text("fleet_key");
    if (!settings.fleet_key.empty() && settings.fleet_key.size() < shortest_key) {
        section.report_invalid("fleet_key", "at least 16 characters");
    }
    settings.seeds = section.seeds();
    if (settings.seeds.empty()) {
        section.report_invalid("seeds", "at least one \"ADDRESS:PORT\"");
    }
    settings.member_drain =
        section.duration("member_drain_ms", grace_ms, settings.member_drain);
    if (section.has("key_withdrawal_ms")) {
        settings.key_withdrawal =
            section.duration("key_withdrawal_ms", grace_ms, std::chrono::seconds(5));
    }
    if (section.has("caller_memory_bytes")) {
        settings.caller_memory =
            section.number("caller_memory_bytes", caller_memory_bytes);
    }
    if (section.has("max_sessions")) {
        settings.max_sessions = section.number("max_sessions", session_count);
    }
    settings.stop_grace =
        section.duration("stop_grace_ms", grace_ms, settings.stop_grace);
    return settings;
}

} // namespace papayabridge
