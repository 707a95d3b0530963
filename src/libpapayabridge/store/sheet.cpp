#include "core/control/setting_fields.hpp"
#include "csv_rows.hpp"
#include "sheet_format.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <papayabridge/configuration.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::size_t max_sheet_bytes = 4 * 1024 * 1024;
constexpr std::size_t max_cell_bytes = 256;
constexpr std::size_t max_problems = 1000;
constexpr std::size_t max_shown_bytes = 60;

const unit_conversion* find_unit(std::string_view name, std::string_view base_unit)
{
    for (const auto& row : units) {
        if (row.name == name && row.base_unit == base_unit) {
            return &row;
        }
    }
    return nullptr;
}

std::string accepted_units(std::string_view base_unit)
{
    std::string text;
    for (const auto& row : units) {
        if (row.base_unit == base_unit) {
            text += text.empty() ? "" : ", ";
            text += row.name.empty() ? "an empty cell" : row.name;
        }
    }
    return text;
}

std::string accepted_numbers(number_range range, std::string_view base_unit)
{
    auto text = "a whole number from " + std::to_string(range.min) + " to " +
                std::to_string(range.max);
    return base_unit.empty() ? text : text + " " + std::string(base_unit);
}

std::string accepted_settings()
{
    std::string text = "one of: ";
    for (const auto& field : rank_fields()) {
        text += std::string(field.setting) + ", ";
    }
    for (const auto& field : limit_fields()) {
        text += std::string(field.setting) + ", ";
    }
    return text + std::string(durability_setting) + ", " + std::string(read_kind_prefix) +
           "NAME";
}

// Shortens `text` and escapes bytes outside printable ASCII as \xHH, so that a cell with
// any content can be shown in a problem.
std::string printable(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string shown;
    for (char c : text.substr(0, max_shown_bytes)) {
        auto byte = static_cast<unsigned char>(c);
        if (byte >= 0x20 && byte < 0x7F) {
            shown += c;
        } else {
            shown += std::string("\\x") + digits[byte >> 4] + digits[byte & 0xF];
        }
    }
    return text.size() > max_shown_bytes ? shown + "..." : shown;
}

bool is_blank(const csv_row& row)
{
    return std::all_of(row.cells.begin(), row.cells.end(),
                       [](const std::string& cell) { return cell.empty(); });
}

// Converts rows to settings and collects a problem for every invalid cell.
class sheet_reader
{
public:
    void read(csv_row row);
    void report(std::size_t row, std::string column, std::string value,
                std::string accepted);
    std::string column_title(std::size_t cell) const;
    sheet_result finish();

private:
    using setting_reader = bool (sheet_reader::*)(service_settings&);

    void read_heading(const csv_row& row);
    void read_setting();
    bool cells_have_valid_text();
    service_settings& find_or_add_service();
    bool read_rank_setting(service_settings& service);
    bool read_limit(service_settings& service);
    bool read_durability(service_settings& service);
    bool read_kind(service_settings& service);
    std::optional<rank> read_rank();
    void require_no_rank();
    std::optional<std::uint64_t> read_number(number_range range,
                                             std::string_view base_unit);
    void check_not_duplicate();
    void check_shares(const service_settings& service);
    void check_deadlines(const service_settings& service);

    const std::string& cell(column id) const;
    void report_cell(column id, std::string accepted);
    std::size_t find_setting_row(const service_settings& service, std::string_view rank,
                                 std::string_view setting) const;

    static constexpr std::array<setting_reader, 4> setting_readers{
        &sheet_reader::read_rank_setting, &sheet_reader::read_limit,
        &sheet_reader::read_durability, &sheet_reader::read_kind};

    sheet_result result_;
    bool heading_seen_ = false;
    bool heading_is_valid_ = false;
    std::vector<std::string> headings_;
    std::array<std::size_t, column_count> column_positions_{};
    csv_row row_;
    // Receives the settings of rows with an invalid service name.
    service_settings discarded_settings_;
    // The number of the first row with each setting, by "service\nrank\nsetting".
    std::map<std::string, std::size_t> setting_rows_;
};

void sheet_reader::report(std::size_t row, std::string column, std::string value,
                          std::string accepted)
{
    if (result_.problems.size() > max_problems) {
        return;
    }
    if (result_.problems.size() == max_problems) {
        result_.problems.push_back(
            {.row = row,
             .column = "(all)",
             .value = "more problems",
             .accepted = "fix the problems above first; the others are not listed"});
        return;
    }
    result_.problems.push_back({.row = row,
                                .column = std::move(column),
                                .value = printable(value),
                                .accepted = std::move(accepted)});
}

std::string sheet_reader::column_title(std::size_t cell) const
{
    return cell < headings_.size() ? printable(headings_[cell])
                                   : std::to_string(cell + 1);
}

const std::string& sheet_reader::cell(column id) const
{
    return row_.cells[column_positions_[static_cast<std::size_t>(id)]];
}

void sheet_reader::report_cell(column id, std::string accepted)
{
    report(row_.number, std::string(column_names[static_cast<std::size_t>(id)]), cell(id),
           std::move(accepted));
}

void sheet_reader::read(csv_row row)
{
    if (!heading_seen_) {
        heading_seen_ = true;
        read_heading(row);
        return;
    }
    if (!heading_is_valid_ || is_blank(row)) {
        return;
    }
    if (row.cells.size() != headings_.size()) {
        report(row.number, "(all)", std::to_string(row.cells.size()) + " cells",
               std::to_string(headings_.size()) + " cells, as in the heading");
        return;
    }
    row_ = std::move(row);
    if (cells_have_valid_text()) {
        read_setting();
    }
}

void sheet_reader::read_heading(const csv_row& row)
{
    headings_ = row.cells;
    heading_is_valid_ = true;
    for (std::size_t i = 0; i < column_count; ++i) {
        auto count = std::count(headings_.begin(), headings_.end(), column_names[i]);
        auto found = std::find(headings_.begin(), headings_.end(), column_names[i]);
        column_positions_[i] = static_cast<std::size_t>(found - headings_.begin());
        if (count != 1) {
            heading_is_valid_ = false;
            report(row.number, std::string(column_names[i]),
                   count == 0 ? "missing" : "stands more than once",
                   "a heading row that has each column once");
        }
    }
    for (const auto& heading : headings_) {
        auto known = std::find(column_names.begin(), column_names.end(), heading);
        if (known == column_names.end()) {
            heading_is_valid_ = false;
            report(row.number, printable(heading), "unknown column",
                   "service, database, rank, setting, value, unit");
        }
    }
}

bool sheet_reader::cells_have_valid_text()
{
    auto before = result_.problems.size();
    for (std::size_t i = 0; i < row_.cells.size(); ++i) {
        const auto& text = row_.cells[i];
        if (text.size() > max_cell_bytes) {
            report(row_.number, column_title(i), text,
                   "at most " + std::to_string(max_cell_bytes) + " bytes");
        } else if (!is_utf8(text)) {
            report(row_.number, column_title(i), text, "valid UTF-8");
        } else if (text.find('\0') != std::string::npos) {
            report(row_.number, column_title(i), text, "text without a NUL byte");
        }
    }
    return result_.problems.size() == before;
}

void sheet_reader::read_setting()
{
    auto& service = find_or_add_service();
    if (!cell(column::database).empty()) {
        report_cell(column::database, "an empty cell: settings apply to a whole service");
    }
    for (auto reader : setting_readers) {
        if ((this->*reader)(service)) {
            check_not_duplicate();
            return;
        }
    }
    report_cell(column::setting, accepted_settings());
}

service_settings& sheet_reader::find_or_add_service()
{
    const auto& name = cell(column::service);
    if (!is_setting_name(name)) {
        report_cell(column::service, std::string(setting_name_text));
        return discarded_settings_;
    }
    auto& services = result_.settings.services;
    auto found = services.find(service_name(name));
    if (found == services.end()) {
        found =
            services
                .emplace(service_name(name), default_service_settings(service_name(name)))
                .first;
    }
    return found->second;
}

std::optional<rank> sheet_reader::read_rank()
{
    auto rank = parse_rank(cell(column::rank));
    if (!rank) {
        report_cell(column::rank, "urgent, normal or batch");
    }
    return rank;
}

void sheet_reader::require_no_rank()
{
    if (!cell(column::rank).empty()) {
        report_cell(column::rank,
                    "an empty cell: this setting is the same for all ranks");
    }
}

std::optional<std::uint64_t> sheet_reader::read_number(number_range range,
                                                       std::string_view base_unit)
{
    const auto* unit = find_unit(cell(column::unit), base_unit);
    if (unit == nullptr) {
        report_cell(column::unit, accepted_units(base_unit));
    }
    auto factor = unit == nullptr ? 1 : unit->factor;
    auto value = parse_unsigned(cell(column::value));
    if (!value || *value > range.max / factor || *value * factor < range.min) {
        report_cell(column::value, accepted_numbers(range, base_unit));
        return std::nullopt;
    }
    return unit == nullptr ? std::nullopt : std::optional(*value * factor);
}

bool sheet_reader::read_rank_setting(service_settings& service)
{
    for (const auto& field : rank_fields()) {
        if (field.setting != cell(column::setting)) {
            continue;
        }
        auto rank = read_rank();
        auto value = read_number(field.range, field.unit);
        if (rank && value) {
            field.store(service.ranks[*rank], *value);
        }
        return true;
    }
    return false;
}

bool sheet_reader::read_limit(service_settings& service)
{
    for (const auto& field : limit_fields()) {
        if (field.setting != cell(column::setting)) {
            continue;
        }
        require_no_rank();
        if (auto value = read_number(field.range, field.unit)) {
            field.store(service.limits, *value);
        }
        return true;
    }
    return false;
}

bool sheet_reader::read_durability(service_settings& service)
{
    if (cell(column::setting) != durability_setting) {
        return false;
    }
    require_no_rank();
    const auto& value = cell(column::value);
    if (value != majority_text && value != primary_text) {
        report_cell(column::value, "majority or primary");
    }
    if (!cell(column::unit).empty()) {
        report_cell(column::unit, "an empty cell");
    }
    service.majority_durable = value != primary_text;
    return true;
}

bool sheet_reader::read_kind(service_settings& service)
{
    const auto& setting = cell(column::setting);
    if (!setting.starts_with(read_kind_prefix)) {
        return false;
    }
    auto name = setting.substr(read_kind_prefix.size());
    if (!is_setting_name(name)) {
        report_cell(column::setting, std::string(read_kind_prefix) +
                                         "NAME, where NAME is " +
                                         std::string(setting_name_text));
    }
    require_no_rank();
    auto age = read_number(accepted_age_range, "ms");
    if (age && *age != 0 && name == fresh_kind) {
        report_cell(column::value, "0: reads of this kind are never stale");
    } else if (age) {
        service.read_kinds[name] = std::chrono::milliseconds(*age);
    }
    return true;
}

void sheet_reader::check_not_duplicate()
{
    auto key =
        cell(column::service) + "\n" + cell(column::rank) + "\n" + cell(column::setting);
    auto [first, added] = setting_rows_.emplace(std::move(key), row_.number);
    if (!added) {
        report_cell(column::setting, "each setting once; row " +
                                         std::to_string(first->second) + " sets it too");
    }
}

std::size_t sheet_reader::find_setting_row(const service_settings& service,
                                           std::string_view rank,
                                           std::string_view setting) const
{
    auto found = setting_rows_.find(service.name.str() + "\n" + std::string(rank) + "\n" +
                                    std::string(setting));
    return found == setting_rows_.end() ? 0 : found->second;
}

void sheet_reader::check_shares(const service_settings& service)
{
    if (share_sum(service) <= 100) {
        return;
    }
    std::size_t last_row = 0;
    std::string shares;
    for (auto rank : all_ranks) {
        last_row =
            std::max(last_row, find_setting_row(service, to_string(rank), "share"));
        shares += std::string(shares.empty() ? "" : ", ") + std::string(to_string(rank)) +
                  " " + std::to_string(service.ranks[rank].share_percent);
    }
    report(last_row, "value", shares,
           "shares of service " + service.name.str() +
               " of at most 100 percent together");
}

void sheet_reader::check_deadlines(const service_settings& service)
{
    for (auto rank : all_ranks) {
        const auto& settings = service.ranks[rank];
        if (settings.deadline >= settings.target) {
            continue;
        }
        auto row = std::max(find_setting_row(service, to_string(rank), "deadline"),
                            find_setting_row(service, to_string(rank), "target"));
        report(row, "value", std::to_string(settings.deadline.count()) + " ms deadline",
               "for service " + service.name.str() + ", rank " +
                   std::string(to_string(rank)) +
                   ": a deadline of at least the target, " +
                   std::to_string(settings.target.count()) + " ms");
    }
}

sheet_result sheet_reader::finish()
{
    if (!heading_seen_) {
        report(1, "(all)", "", "a heading row: service,database,rank,setting,value,unit");
    }
    for (const auto& [name, service] : result_.settings.services) {
        check_shares(service);
        check_deadlines(service);
    }
    if (result_.settings.services.empty() && result_.problems.empty()) {
        report(2, "(all)", "", "at least one row below the heading");
    }
    return std::move(result_);
}

} // namespace

std::string sheet_problem::str() const
{
    return "row " + std::to_string(row) + ", column " + column + ": " + value +
           "; accepted: " + accepted;
}

sheet_result read_sheet(std::string_view text)
{
    sheet_reader reader;
    if (text.size() > max_sheet_bytes) {
        reader.report(1, "(all)", std::to_string(text.size()) + " bytes",
                      "at most " + std::to_string(max_sheet_bytes) + " bytes");
        return reader.finish();
    }
    read_csv(text, {.on_row = [&](csv_row row) { reader.read(std::move(row)); },
                    .on_error =
                        [&](csv_error error) {
                            reader.report(error.row, reader.column_title(error.cell),
                                          "broken quotes", std::move(error.accepted));
                        }});
    return reader.finish();
}

} // namespace papayabridge
