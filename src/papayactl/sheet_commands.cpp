// check and apply: the planners' sheet.

#include "command_line.hpp"

#include <array>
#include <cstdlib>
#include <fstream>
#include <papayabridge/configuration.hpp>
#include <papayabridge/json.hpp>
#include <random>
#include <sstream>

namespace papayabridge {

namespace {

constexpr const char* sheet_brief = "the planners' sheet (CSV)";

using sheet_argument = TCLAP::UnlabeledValueArg<std::string>;

struct change_request
{
    configuration settings;
    /// The version in force if absent.
    std::optional<config_version> base;
    change_id change;
    std::string author;
};

std::string counted(std::size_t count, const std::string& noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

report refused(const std::string& file, const sheet_result& sheet)
{
    report found;
    found.code = exit_code::check_failed;
    found.machine["sheet"] = file;
    auto& problems = found.machine["problems"];
    problems = Json::Value(Json::arrayValue);
    for (const auto& problem : sheet.problems) {
        found.text += file + ": " + problem.str() + "\n";
        Json::Value item;
        item["row"] = Json::UInt64(problem.row);
        item["column"] = problem.column;
        item["value"] = problem.value;
        item["accepted"] = problem.accepted;
        problems.append(item);
    }
    found.text += file + ": " + counted(sheet.problems.size(), "problem") + "\n";
    return found;
}

result<sheet_result> open_sheet(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        return fail(error_kind::bad_request, file + " cannot be read, or is empty");
    }
    return read_sheet(std::move(text).str());
}

// A word that no other change has.
std::string fresh_change()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t length = 24;
    std::random_device source;
    std::string text = "change-";
    for (std::size_t i = 0; i < length; ++i) {
        text += digits[source() % digits.size()];
    }
    return text;
}

std::string login_name()
{
    const char* name = std::getenv("USER");
    return name == nullptr || *name == '\0' ? "operator" : name;
}

void name_change(report& found, const change_request& request)
{
    found.machine["change"] = request.change.str();
    found.machine["author"] = request.author;
}

report lost(const change_request& request, const error& problem)
{
    auto found = failed("not applied: " + problem.detail);
    found.machine["kind"] = std::string(answer_of(problem.kind).name);
    name_change(found, request);
    return found;
}

report unknown(const change_request& request, const error& problem)
{
    auto found = failed((problem.kind == error_kind::outcome_unknown
                             ? "it is not known whether the "
                               "change was accepted: "
                             : "not applied: ") +
                        problem.str() + "\nrun the same command with --change " +
                        request.change.str() + " to learn the outcome or to try again");
    found.machine["kind"] = std::string(answer_of(problem.kind).name);
    name_change(found, request);
    return found;
}

report accepted(const change_request& request, config_version version)
{
    report found;
    found.text = "accepted as version " + std::to_string(version.value()) + ", change " +
                 request.change.str() + " by " + request.author + "\n";
    found.machine["version"] = Json::UInt64(version.value());
    name_change(found, request);
    return found;
}

// A resend may come after later changes.
void name_successor(report& found, const control_state& state, config_version version)
{
    const auto& current = state.configuration();
    found.machine["current_version"] = Json::UInt64(current.version.value());
    if (current.version > version) {
        found.text += "version " + std::to_string(current.version.value()) + " by " +
                      current.author + " (change " + current.change.str() +
                      ") has replaced it since\n";
    }
}

// A change id that was used before, with other settings, gets the outcome of those.
bool was_used_otherwise(const control_state& state, const change_request& request)
{
    const auto& current = state.configuration();
    // Numbers that were read from text compare unequal to others; their text does not.
    return current.change == request.change &&
           to_json(current.content) != to_json(to_value(request.settings));
}

net::awaitable<report> send(fleet& processes, change_request request)
{
    if (!request.base) {
        auto seen = co_await processes.keepers_and_state();
        if (!seen.state) {
            co_return failed("not applied: no keeper gave the version in force");
        }
        request.base = seen.state->configuration().version;
    }
    change_configuration change;
    change.base = *request.base;
    change.change = request.change;
    change.author = request.author;
    change.content = to_value(request.settings);
    auto outcome = co_await processes.propose(std::move(change));
    if (!outcome) {
        co_return unknown(request, outcome.error());
    }
    if (!outcome.value().accepted) {
        co_return lost(request, outcome.value().problem);
    }
    auto seen = co_await processes.keepers_and_state();
    if (seen.state && was_used_otherwise(*seen.state, request)) {
        co_return failed("not applied: change " + request.change.str() +
                         " was used before with other settings; choose another id");
    }
    auto found = accepted(request, outcome.value().version);
    if (seen.state) {
        name_successor(found, *seen.state, outcome.value().version);
    }
    co_return found;
}

} // namespace

exit_code operator_tool::check()
{
    command_line line("Checks a sheet and names every bad cell.");
    sheet_argument sheet("sheet", sheet_brief, true, "", "SHEET", line.line());
    auto options = line.parse(argc_, argv_);

    auto read = open_sheet(sheet.getValue());
    if (!read) {
        return print(failed(read.error().detail, exit_code::cannot_start), options.json);
    }
    if (!read.value().problems.empty()) {
        return print(refused(sheet.getValue(), read.value()), options.json);
    }
    const auto& services = read.value().settings.services;
    report found;
    found.text =
        sheet.getValue() + ": accepted, " + counted(services.size(), "service") + "\n";
    found.machine["sheet"] = sheet.getValue();
    found.machine["problems"] = Json::Value(Json::arrayValue);
    found.machine["configuration"] = to_value(read.value().settings);
    return print(found, options.json);
}

exit_code operator_tool::apply()
{
    command_line line("Makes a sheet the configuration of the fleet, all or nothing.");
    line.asks_fleet();
    number_argument base("b", "base",
                         "version that the sheet replaces; default: the one in force",
                         line.line());
    TCLAP::ValueArg<std::string> change(
        "c", "change", "id of the change; a resend with the same id runs once", false, "",
        "ID", line.line());
    TCLAP::ValueArg<std::string> author("a", "author",
                                        "who makes the change; default: the login name",
                                        false, login_name(), "NAME", line.line());
    sheet_argument sheet("sheet", sheet_brief, true, "", "SHEET", line.line());
    auto options = line.parse(argc_, argv_);

    auto read = open_sheet(sheet.getValue());
    if (!read) {
        return print(failed(read.error().detail, exit_code::cannot_start), options.json);
    }
    if (!read.value().problems.empty()) {
        return print(refused(sheet.getValue(), read.value()), options.json);
    }
    change_request request{
        .settings = read.value().settings,
        .change = change_id(change.isSet() ? change.getValue() : fresh_change()),
        .author = author.getValue()};
    if (base.is_set()) {
        request.base = config_version(base.value());
    }
    return run(options,
               [&request](fleet& processes) { return send(processes, request); });
}

} // namespace papayabridge
