#include "core/control/setting_fields.hpp"
#include "csv_rows.hpp"
#include "sheet_format.hpp"

namespace papayabridge {

namespace {

// One row of the sheet as CSV.
std::string format_line(const std::array<std::string, column_count>& cells)
{
    std::string line;
    for (const auto& cell : cells) {
        line += (line.empty() ? "" : ",") + quote_csv_cell(cell);
    }
    return line + "\r\n";
}

std::string format_service(const service_settings& service)
{
    const auto& name = service.name.str();
    std::string lines;
    for (auto rank : all_ranks) {
        for (const auto& field : rank_fields()) {
            lines += format_line({name, "", std::string(to_string(rank)),
                                  std::string(field.setting),
                                  std::to_string(field.load(service.ranks[rank])),
                                  std::string(field.unit)});
        }
    }
    for (const auto& [kind, age] : service.read_kinds) {
        lines += format_line({name, "", "", std::string(read_kind_prefix) + kind,
                              std::to_string(age.count()), "ms"});
    }
    for (const auto& field : limit_fields()) {
        lines += format_line({name, "", "", std::string(field.setting),
                              std::to_string(field.load(service.limits)),
                              std::string(field.unit)});
    }
    return lines + format_line({name, "", "", std::string(durability_setting),
                                std::string(service.majority_durable ? majority_text
                                                                     : primary_text),
                                ""});
}

} // namespace

std::string write_sheet(const configuration& settings)
{
    std::string text = "service,database,rank,setting,value,unit\r\n";
    for (const auto& [name, service] : settings.services) {
        text += format_service(service);
    }
    return text;
}

} // namespace papayabridge
