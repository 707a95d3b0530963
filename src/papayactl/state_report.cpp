#include "state_report.hpp"

#include <algorithm>
#include <papayabridge/configuration.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

std::string or_none(const std::string& text)
{
    return text.empty() ? "none" : text;
}

Json::Value to_value(const keeper_view& keeper)
{
    Json::Value value =
        keeper.status ? to_value(*keeper.status) : Json::Value(Json::objectValue);
    value["rpc"] = keeper.rpc;
    value["reachable"] = keeper.status.has_value();
    value["problem"] = keeper.problem;
    return value;
}

std::string text_of(const keeper_view& keeper)
{
    if (!keeper.status) {
        return "  " + keeper.rpc + " unreachable: " + keeper.problem + "\n";
    }
    const auto& status = *keeper.status;
    return "  " + keeper.rpc + " " + status.id.str() + ": " + status.role + ", term " +
           std::to_string(status.term) + ", leader " + or_none(status.leader.str()) +
           ", applied " + std::to_string(status.applied.value()) + " of " +
           std::to_string(status.committed.value()) + ", storage " + status.storage +
           "\n";
}

Json::Value to_value(const entry_view& entry)
{
    Json::Value value;
    value["id"] = entry.record.id.str();
    value["rpc"] = entry.record.rpc;
    value["http"] = entry.record.http;
    value["domain"] = entry.record.domain.str();
    value["region"] = entry.record.region.str();
    value["condition"] = std::string(to_string(entry.record.condition));
    value["reachable"] = entry.status.has_value();
    value["problem"] = entry.problem;
    if (entry.status) {
        value["version"] = Json::UInt64(entry.status->version.value());
        value["applied"] = Json::UInt64(entry.status->applied.value());
        value["own_condition"] = entry.status->condition;
        value["gates"] = entry.status->gates;
        value["in_progress"] = Json::UInt64(entry.status->in_progress);
        value["view_age_ms"] = Json::UInt64(entry.status->view_age.count());
    }
    return value;
}

std::string text_of(const entry_view& entry)
{
    auto text = "  " + entry.record.id.str() + " (" + entry.record.domain.str() + ", " +
                entry.record.rpc + "): " + std::string(to_string(entry.record.condition));
    if (!entry.status) {
        return text + ", unreachable: " + entry.problem + "\n";
    }
    const auto& status = *entry.status;
    return text + ", version " + std::to_string(status.version.value()) + ", " +
           std::to_string(status.in_progress) + " in progress, heard a keeper " +
           std::to_string(status.view_age.count()) + " ms ago\n";
}

Json::Value to_value(const member_record& member)
{
    Json::Value value;
    value["id"] = member.id.str();
    value["endpoint"] = member.endpoint;
    value["domain"] = member.domain.str();
    value["condition"] = std::string(to_string(member.condition));
    value["gate"] = member.gate.str();
    return value;
}

Json::Value to_value(const database_record& database)
{
    Json::Value value;
    value["database"] = database.key.str();
    value["term"] = Json::UInt64(database.term.value());
    value["primary"] = database.primary.str();
    value["group_size"] = database.group_size;
    value["members"] = Json::Value(Json::arrayValue);
    for (const auto& [id, member] : database.members) {
        value["members"].append(to_value(member));
    }
    if (database.pending) {
        value["transition"]["term"] = Json::UInt64(database.pending->term.value());
        value["transition"]["driver"] = database.pending->driver.str();
        value["transition"]["reason"] = std::string(to_string(database.pending->reason));
    }
    return value;
}

std::string text_of(const database_record& database)
{
    auto text = "  " + database.key.str() + ": primary " +
                or_none(database.primary.str()) + ", term " +
                std::to_string(database.term.value());
    if (database.pending) {
        text += ", moving to term " + std::to_string(database.pending->term.value()) +
                " (" + std::string(to_string(database.pending->reason)) + ", driver " +
                or_none(database.pending->driver.str()) + ")";
    }
    text += "\n";
    for (const auto& [id, member] : database.members) {
        text += "    " + id.str() + " at " + member.endpoint + ": " +
                std::string(to_string(member.condition)) + ", gate " +
                or_none(member.gate.str()) + "\n";
    }
    return text;
}

template <class List>
void add_section(report& found, const char* name, const List& items)
{
    found.text += std::string(name) + ":" + (items.empty() ? " none\n" : "\n");
    found.machine[name] = Json::Value(Json::arrayValue);
    for (const auto& item : items) {
        found.text += text_of(item);
        found.machine[name].append(to_value(item));
    }
}

std::vector<database_record> databases_of(const operator_view& seen)
{
    std::vector<database_record> databases;
    if (seen.state) {
        for (const auto& [key, database] : seen.state->databases()) {
            databases.push_back(database);
        }
    }
    return databases;
}

} // namespace

bool is_in_force(const operator_view& seen)
{
    if (!seen.state) {
        return false;
    }
    auto version = seen.state->configuration().version;
    return std::all_of(seen.entries.begin(), seen.entries.end(),
                       [version](const entry_view& entry) {
                           return entry.record.condition == entry_condition::down ||
                                  has_in_force(entry, version);
                       });
}

report status_report(const operator_view& seen)
{
    report found;
    add_section(found, "keepers", seen.keepers);
    add_section(found, "entries", seen.entries);
    add_section(found, "databases", databases_of(seen));
    auto alarms = alarms_of(seen);
    found.text += alarms.empty() ? "alarms: none\n" : "alarms:\n";
    for (const auto& alarm : alarms) {
        found.text += "  " + alarm + "\n";
    }
    found.machine["alarms"] = to_value(alarms);
    if (!seen.state) {
        found.code = exit_code::check_failed;
    }
    return found;
}

report configuration_report(const operator_view& seen)
{
    if (!seen.state) {
        return failed("no keeper gave the configuration");
    }
    const auto& current = seen.state->configuration();
    report found;
    found.machine["version"] = Json::UInt64(current.version.value());
    found.machine["change"] = current.change.str();
    found.machine["author"] = current.author;
    found.machine["configuration"] = current.content;
    found.text = "version " + std::to_string(current.version.value()) + ", change " +
                 or_none(current.change.str()) + " by " + or_none(current.author) + "\n";
    auto settings = configuration_from(current.content);
    found.text +=
        settings ? write_sheet(settings.value()) : settings.error().str() + "\n";
    for (const auto* name : {"in_force", "not_in_force"}) {
        found.machine[name] = Json::Value(Json::arrayValue);
    }
    for (const auto& entry : seen.entries) {
        bool in_force = has_in_force(entry, current.version);
        found.machine[in_force ? "in_force" : "not_in_force"].append(to_value(entry));
        found.text += std::string(in_force ? "in force at" : "not in force at") +
                      text_of(entry).substr(1);
    }
    for (const auto& keeper : seen.keepers) {
        found.machine["keepers"].append(to_value(keeper));
        found.text += keeper.status ? "" : "keeper" + text_of(keeper).substr(1);
    }
    return found;
}

} // namespace papayabridge
