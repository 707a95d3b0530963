#include "entry_settings.hpp"

namespace papayabridge {

namespace {
constexpr std::size_t min_key_length = 16;
} // namespace

entry_settings read_entry_settings(settings_document& document)
{
    settings_section root(document);
    entry_settings settings;
    settings.id = entry_id(root.text("id"));
    settings.domain = domain_name(root.text("domain"));
    settings.region = region_name(root.text("region"));
    settings.log = read_log_rates(root);
    settings.http = root.endpoint("http");
    settings.rpc = root.endpoint("rpc");
    settings.data_folder = root.text("data", "");
    settings.fleet_key = root.text("fleet_key");
    if (!settings.fleet_key.empty() && settings.fleet_key.size() < min_key_length) {
        root.report_invalid("fleet_key", "at least 16 characters");
    }
    settings.keepers = root.endpoints("keepers");
    if (settings.keepers.empty()) {
        root.report_invalid("keepers", "at least one \"ADDRESS:PORT\"");
    }
    settings.traffic_threads = root.number("traffic_threads", {1, 64}, 2);
    settings.max_connections = root.number("max_connections", {1, 1000000}, 20000);
    settings.admission = root.text("admission", "shares");
    if (settings.admission != "shares" && settings.admission != "fifo" &&
        settings.admission != "strict")
    {
        root.report_invalid("admission", "shares, fifo or strict");
    }
    settings.drain_timeout =
        root.duration("drain_timeout_ms", {0, 3600000}, settings.drain_timeout);
    settings.test_faults = root.flag("test_faults", false);
    settings.links = link_table::read(root);
    if (settings.http == settings.rpc && settings.http.port() != 0) {
        root.report_invalid("rpc", "another address than http");
    }
    root.report_unknown_members();
    return settings;
}

} // namespace papayabridge
