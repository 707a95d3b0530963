#include "pool_codec.hpp"

#include "packed_text.hpp"

#include <algorithm>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

Json::Value number(std::uint64_t value)
{
    return Json::UInt64(value);
}

Json::Value to_value(const pooled_member& member)
{
    Json::Value value;
    value["id"] = member.run.id.str();
    value["started_ms"] = number(member.run.started_ms);
    value["service"] = member.service.str();
    value["endpoint"] = member.endpoint;
    value["domain"] = member.domain.str();
    value["slots"] = member.slots;
    value["leaving"] = member.leaving;
    value["claims_primary"] = member.claims_primary;
    value["sequence"] = number(member.sequence);
    return value;
}

member_run run_from(const Json::Value& value)
{
    return {.id = member_id(text_of(value, "id")),
            .started_ms = number_of(value, "started_ms")};
}

pooled_member member_from(const Json::Value& value)
{
    return {.run = run_from(value),
            .service = service_name(text_of(value, "service")),
            .endpoint = text_of(value, "endpoint"),
            .domain = domain_name(text_of(value, "domain")),
            .slots = static_cast<unsigned>(number_of(value, "slots", 1)),
            .leaving = flag_of(value, "leaving"),
            .claims_primary = flag_of(value, "claims_primary"),
            .sequence = number_of(value, "sequence")};
}

Json::Value to_value(const keeper_record& place)
{
    Json::Value value;
    value["id"] = place.id.str();
    value["rpc"] = place.rpc;
    value["domain"] = place.domain.str();
    return value;
}

keeper_record place_from(const Json::Value& value)
{
    return {.id = keeper_id(text_of(value, "id")),
            .rpc = text_of(value, "rpc"),
            .domain = domain_name(text_of(value, "domain"))};
}

Json::Value to_value(const pooled_service& service)
{
    Json::Value value;
    value["primary"] = service.primary.str();
    value["primary_started_ms"] = number(service.primary_started_ms);
    value["primary_changes"] = number(service.primary_changes);
    if (service.suspected_since != control_index()) {
        value["suspected_since"] = number(service.suspected_since.value());
    }
    if (service.pending) {
        value["token"] = number(service.pending->fencing_token.value());
        value["target"] = service.pending->target.str();
        // Read by earlier versions.
        value["follows_order"] = !service.pending->outstanding.empty();
        for (const auto& target : service.pending->outstanding) {
            value["outstanding"].append(target.str());
        }
    }
    return value;
}

std::vector<member_id> outstanding_from(const Json::Value& value)
{
    std::vector<member_id> targets;
    for (const auto& target : value["outstanding"]) {
        targets.emplace_back(target.isString() ? target.asString() : std::string());
    }
    if (targets.empty() && flag_of(value, "follows_order")) {
        // Written by an earlier version, which did not record the targets.
        targets.emplace_back();
    }
    return targets;
}

pooled_service service_from(const Json::Value& value)
{
    pooled_service service{.primary = member_id(text_of(value, "primary")),
                           .primary_started_ms = number_of(value, "primary_started_ms"),
                           .primary_changes = number_of(value, "primary_changes"),
                           .suspected_since =
                               control_index(number_of(value, "suspected_since"))};
    if (value.isMember("token")) {
        service.pending =
            promotion{.fencing_token = control_index(number_of(value, "token")),
                      .target = member_id(text_of(value, "target")),
                      .outstanding = outstanding_from(value)};
    }
    return service;
}

// A longer failure changes no decision, and more would not fit into a time point.
constexpr std::uint64_t max_failure_ms = 24ULL * 60 * 60 * 1000;

// A text that cannot be read leaves version 0, which never takes effect.
published_configuration configuration_from(const Json::Value& value)
{
    auto text = unpack_text(text_of(value, "packed"));
    if (!text) {
        return {};
    }
    return {.version = config_version(number_of(value, "version")),
            .text = std::move(text.value())};
}

Json::Value named(const char* command)
{
    Json::Value value;
    value["do"] = command;
    return value;
}

} // namespace

Json::Value to_value(const member_failure& trouble)
{
    Json::Value value;
    value["entry"] = trouble.entry.str();
    value["service"] = trouble.service.str();
    value["member"] = trouble.member.str();
    value["lasting_ms"] = number(static_cast<std::uint64_t>(trouble.duration.count()));
    return value;
}

member_failure member_failure_from(const Json::Value& value)
{
    return {.entry = entry_id(text_of(value, "entry")),
            .service = service_name(text_of(value, "service")),
            .member = member_id(text_of(value, "member")),
            .duration = std::chrono::milliseconds(
                std::min(number_of(value, "lasting_ms"), max_failure_ms))};
}

Json::Value to_value(const commit_report& report)
{
    Json::Value value;
    value["entry"] = report.entry.str();
    value["service"] = report.service.str();
    value["suspicion"] = number(report.suspicion.value());
    if (report.furthest) {
        value["term"] = number(report.furthest->term.value());
        value["index"] = number(report.furthest->index.value());
    }
    return value;
}

commit_report commit_report_from(const Json::Value& value)
{
    commit_report report{.entry = entry_id(text_of(value, "entry")),
                         .service = service_name(text_of(value, "service")),
                         .suspicion = control_index(number_of(value, "suspicion"))};
    if (value.isMember("term")) {
        report.furthest = position{.term = term(number_of(value, "term")),
                                   .index = log_index(number_of(value, "index"))};
    }
    return report;
}

Json::Value to_value(const primary_report& report)
{
    Json::Value value;
    value["failures"] = Json::Value(Json::arrayValue);
    for (const auto& failure : report.failures) {
        value["failures"].append(to_value(failure));
    }
    value["commits"] = Json::Value(Json::arrayValue);
    for (const auto& commits : report.commits) {
        value["commits"].append(to_value(commits));
    }
    return value;
}

primary_report primary_report_from(const Json::Value& value)
{
    primary_report report;
    for (const auto& failure : value["failures"]) {
        report.failures.push_back(member_failure_from(failure));
    }
    for (const auto& commits : value["commits"]) {
        report.commits.push_back(commit_report_from(commits));
    }
    if (value.isMember("member")) {
        // Earlier versions send one failure a message.
        report.failures.push_back(member_failure_from(value));
    }
    return report;
}

Json::Value encode(const publish_configuration& change)
{
    auto value = named("publish_configuration");
    value["version"] = number(change.configuration.version.value());
    value["packed"] = pack_text(change.configuration.text);
    return value;
}

Json::Value encode(const register_keeper& change)
{
    auto value = named("register_keeper");
    value["place"] = to_value(change.keeper);
    return value;
}

Json::Value encode(const report_member& change)
{
    auto value = named("report_member");
    value["member"] = to_value(change.member);
    return value;
}

Json::Value encode(const remove_member& change)
{
    auto value = named("remove_member");
    value["id"] = change.run.id.str();
    value["started_ms"] = number(change.run.started_ms);
    if (change.is_covered) {
        value["covered"] = true;
    }
    return value;
}

Json::Value encode(const begin_promotion& change)
{
    auto value = named("begin_promotion");
    value["service"] = change.service.str();
    value["reason"] = change.reason;
    return value;
}

Json::Value encode(const choose_target& change)
{
    auto value = named("choose_target");
    value["service"] = change.service.str();
    value["token"] = number(change.fencing_token.value());
    value["target"] = change.target.str();
    return value;
}

Json::Value encode(const confirm_primary& change)
{
    auto value = named("confirm_primary");
    value["service"] = change.service.str();
    value["token"] = number(change.fencing_token.value());
    value["primary"] = change.primary.str();
    return value;
}

Json::Value encode(const suspect_primary& change)
{
    auto value = named("suspect_primary");
    value["service"] = change.service.str();
    value["primary"] = change.primary.str();
    value["suspected"] = change.is_suspected;
    return value;
}

Json::Value encode(const read_barrier&)
{
    return named("read_barrier");
}

publish_configuration publish_configuration_from(const Json::Value& value)
{
    return {.configuration = configuration_from(value)};
}

register_keeper register_keeper_from(const Json::Value& value)
{
    return {.keeper = place_from(value["place"])};
}

report_member report_member_from(const Json::Value& value)
{
    return {.member = member_from(value["member"])};
}

remove_member remove_member_from(const Json::Value& value)
{
    return {.run = run_from(value), .is_covered = flag_of(value, "covered")};
}

begin_promotion begin_promotion_from(const Json::Value& value)
{
    return {.service = service_name(text_of(value, "service")),
            .reason = text_of(value, "reason")};
}

choose_target choose_target_from(const Json::Value& value)
{
    return {.service = service_name(text_of(value, "service")),
            .fencing_token = control_index(number_of(value, "token")),
            .target = member_id(text_of(value, "target"))};
}

confirm_primary confirm_primary_from(const Json::Value& value)
{
    return {.service = service_name(text_of(value, "service")),
            .fencing_token = control_index(number_of(value, "token")),
            .primary = member_id(text_of(value, "primary"))};
}

suspect_primary suspect_primary_from(const Json::Value& value)
{
    return {.service = service_name(text_of(value, "service")),
            .primary = member_id(text_of(value, "primary")),
            .is_suspected = flag_of(value, "suspected")};
}

Json::Value pool_state::snapshot() const
{
    Json::Value value;
    value["version"] = number(configuration_.version.value());
    value["packed"] = pack_text(configuration_.text);
    value["keepers"] = Json::Value(Json::arrayValue);
    for (const auto& [id, place] : keepers_) {
        value["keepers"].append(to_value(place));
    }
    value["members"] = Json::Value(Json::arrayValue);
    for (const auto& [id, member] : members_) {
        value["members"].append(to_value(member));
    }
    value["services"] = Json::Value(Json::objectValue);
    for (const auto& [name, service] : services_) {
        value["services"][name.str()] = to_value(service);
    }
    value["removed"] = Json::Value(Json::objectValue);
    for (const auto& [id, started_ms] : removed_) {
        value["removed"][id.str()] = number(started_ms);
    }
    value["departed"] = Json::Value(Json::arrayValue);
    for (const auto& [run, departure] : departed_) {
        Json::Value item;
        item["id"] = run.id.str();
        item["started_ms"] = number(run.started_ms);
        item["service"] = departure.service.str();
        item["endpoint"] = departure.endpoint;
        item["since"] = number(departure.since.value());
        value["departed"].append(std::move(item));
    }
    return value;
}

pool_state pool_state::from_snapshot(const Json::Value& value)
{
    pool_state state;
    if (!value.isObject()) {
        return state;
    }
    state.configuration_ = configuration_from(value);
    for (const auto& item : value["keepers"]) {
        auto place = place_from(item);
        state.keepers_[place.id] = place;
    }
    for (const auto& item : value["members"]) {
        auto member = member_from(item);
        state.members_[member.run.id] = member;
    }
    for (const auto& name : value["services"].getMemberNames()) {
        state.services_[service_name(name)] = service_from(value["services"][name]);
    }
    const auto& removed = value["removed"];
    for (auto run = removed.begin(); run != removed.end(); ++run) {
        state.removed_[member_id(run.name())] = run->isUInt64() ? run->asUInt64() : 0;
    }
    // Earlier versions did not keep them.
    for (const auto& item : value["departed"]) {
        state.departed_[run_from(item)] = {
            .service = service_name(text_of(item, "service")),
            .endpoint = text_of(item, "endpoint"),
            .since = control_index(number_of(item, "since"))};
    }
    return state;
}

} // namespace papayabridge
