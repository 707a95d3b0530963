#include "member_settings.hpp"

#include <algorithm>
#include <array>

namespace papayadb {

namespace {

constexpr papayabridge::number_range any_count{1, 100000};
constexpr papayabridge::number_range any_delay_ms{0, 60000};
constexpr papayabridge::number_range any_delay_us{0, 60000000};

struct fault_row
{
    std::string_view name;
    std::uint64_t member_faults::*value;
};

constexpr std::array<fault_row, 8> fault_rows{{
    {"service_us", &member_faults::service_us},
    {"lag_ms", &member_faults::lag_ms},
    {"freeze_replication", &member_faults::freeze_replication},
    {"late_ms", &member_faults::late_ms},
    {"half_answers", &member_faults::half_answers},
    {"foreign_ids", &member_faults::foreign_ids},
    {"double_answers", &member_faults::double_answers},
    {"lost_answers", &member_faults::lost_answers},
}};

} // namespace

bool member_faults::change(const Json::Value& change)
{
    for (const auto& name : change.getMemberNames()) {
        const auto* row =
            std::find_if(fault_rows.begin(), fault_rows.end(),
                         [&](const auto& each) { return each.name == name; });
        const auto& value = change[name];
        if (row == fault_rows.end() || !(value.isUInt64() || value.isBool())) {
            return false;
        }
        this->*row->value = value.isBool() ? value.asBool() : value.asUInt64();
    }
    return true;
}

member_settings read_settings(papayabridge::settings_document& document,
                              member_faults& behaviour)
{
    papayabridge::settings_section root(document);
    member_settings settings;
    settings.service = root.text("service");
    settings.database = root.text("database");
    settings.member = root.text("member");
    settings.listen = root.endpoint("listen");
    settings.domain = root.text("domain");
    settings.region = root.text("region");
    settings.group_size = root.number("group_size", any_count, settings.group_size);
    settings.slots = root.number("slots", any_count, settings.slots);
    settings.connections = root.number("connections", any_count, settings.connections);
    settings.connect_cost =
        root.duration("connect_ms", any_delay_ms, settings.connect_cost);
    behaviour.service_us = root.number("service_us", any_delay_us, behaviour.service_us);
    behaviour.lag_ms = root.number("lag_ms", any_delay_ms, behaviour.lag_ms);
    settings.peers = root.endpoints("peers");
    settings.entries = root.endpoints("entries");
    settings.data = root.text("data", "");
    settings.links = papayabridge::link_table::read(root);
    root.report_unknown_members();
    return settings;
}

} // namespace papayadb
