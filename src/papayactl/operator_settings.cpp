#include "operator_settings.hpp"

namespace papayabridge {

operator_settings read_operator_settings(settings_document& document)
{
    settings_section section(document);
    operator_settings settings;
    settings.keepers = section.endpoints("keepers");
    if (settings.keepers.empty()) {
        section.report_invalid("keepers", "at least one \"ADDRESS:PORT\"");
    }
    settings.fleet_key = section.text("fleet_key");
    settings.links = link_table::read(section);
    section.report_unknown_members();
    return settings;
}

} // namespace papayabridge
