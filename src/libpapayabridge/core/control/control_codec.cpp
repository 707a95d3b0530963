// JSON form of the control state, its commands and their outcomes.

#include "pool_codec.hpp"

#include <papayabridge/control_state.hpp>
#include <papayabridge/json.hpp>

#include <array>

namespace papayabridge {

namespace {

constexpr std::array<std::string_view, 3> entry_conditions{"up", "draining", "down"};
constexpr std::array<std::string_view, 2> member_conditions{"serving", "leaving"};
constexpr std::array<std::string_view, 7> reasons{
    "formed",         "primary_lost",   "gate_lost",  "gate_moved",
    "member_leaving", "operator_asked", "driver_lost"};

template <class Enum, std::size_t Count>
Enum enum_of(const std::array<std::string_view, Count>& names, const std::string& name)
{
    for (std::size_t i = 0; i < Count; ++i) {
        if (names[i] == name) {
            return static_cast<Enum>(i);
        }
    }
    return Enum{};
}

Json::Value number(std::uint64_t value)
{
    return Json::UInt64(value);
}

database_key key_of(const Json::Value& value)
{
    return parse_database_key(text_of(value, "database")).value_or(database_key{});
}

Json::Value to_value(const entry_record& entry)
{
    Json::Value value;
    value["id"] = entry.id.str();
    value["incarnation"] = number(entry.incarnation);
    value["http"] = entry.http;
    value["rpc"] = entry.rpc;
    value["domain"] = entry.domain.str();
    value["region"] = entry.region.str();
    value["condition"] = std::string(to_string(entry.condition));
    return value;
}

entry_record entry_from(const Json::Value& value)
{
    entry_record entry;
    entry.id = entry_id(text_of(value, "id"));
    entry.incarnation = number_of(value, "incarnation");
    entry.http = text_of(value, "http");
    entry.rpc = text_of(value, "rpc");
    entry.domain = domain_name(text_of(value, "domain"));
    entry.region = region_name(text_of(value, "region"));
    entry.condition =
        enum_of<entry_condition>(entry_conditions, text_of(value, "condition"));
    return entry;
}

Json::Value to_value(const member_record& member)
{
    Json::Value value;
    value["id"] = member.id.str();
    value["endpoint"] = member.endpoint;
    value["domain"] = member.domain.str();
    value["region"] = member.region.str();
    value["slots"] = member.slots;
    value["connections"] = member.connections;
    value["condition"] = std::string(to_string(member.condition));
    value["gate"] = member.gate.str();
    value["admitted"] = member.admitted;
    return value;
}

member_record member_from(const Json::Value& value)
{
    member_record member;
    member.id = member_id(text_of(value, "id"));
    member.endpoint = text_of(value, "endpoint");
    member.domain = domain_name(text_of(value, "domain"));
    member.region = region_name(text_of(value, "region"));
    member.slots = static_cast<unsigned>(number_of(value, "slots", 1));
    member.connections = static_cast<unsigned>(number_of(value, "connections", 1));
    member.condition =
        enum_of<member_condition>(member_conditions, text_of(value, "condition"));
    member.gate = entry_id(text_of(value, "gate"));
    // Earlier versions counted every member.
    member.admitted = !value.isMember("admitted") || flag_of(value, "admitted");
    return member;
}

Json::Value to_value(const transition& next)
{
    Json::Value value;
    value["term"] = number(next.term.value());
    value["driver"] = next.driver.str();
    value["reason"] = std::string(to_string(next.reason));
    value["planned"] = next.planned;
    value["gates"] = Json::Value(Json::objectValue);
    for (const auto& [member, gate] : next.gates) {
        value["gates"][member.str()] = gate.str();
    }
    return value;
}

transition transition_from(const Json::Value& value)
{
    transition next;
    next.term = term(number_of(value, "term"));
    next.driver = entry_id(text_of(value, "driver"));
    next.reason = enum_of<transition_reason>(reasons, text_of(value, "reason"));
    next.planned = flag_of(value, "planned");
    for (const auto& member : value["gates"].getMemberNames()) {
        next.gates[member_id(member)] = entry_id(text_of(value["gates"], member.c_str()));
    }
    return next;
}

Json::Value to_value(const database_record& database)
{
    Json::Value value;
    value["database"] = database.key.str();
    value["group_size"] = database.group_size;
    value["copies"] = number(database.copies);
    value["term"] = number(database.term.value());
    value["primary"] = database.primary.str();
    value["members"] = Json::Value(Json::arrayValue);
    for (const auto& [id, member] : database.members) {
        value["members"].append(to_value(member));
    }
    if (database.pending) {
        value["next"] = to_value(*database.pending);
    }
    return value;
}

database_record database_from(const Json::Value& value)
{
    database_record database;
    database.key = key_of(value);
    database.group_size = static_cast<unsigned>(number_of(value, "group_size", 1));
    database.term = term(number_of(value, "term"));
    // Earlier versions did not keep it.
    std::size_t copies = database.term == term() ? 0 : majority_of(database.group_size);
    database.copies = number_of(value, "copies", copies);
    database.primary = member_id(text_of(value, "primary"));
    for (const auto& item : value["members"]) {
        auto member = member_from(item);
        database.members[member.id] = member;
    }
    if (value["next"].isObject()) {
        database.pending = transition_from(value["next"]);
    }
    return database;
}

Json::Value encode(const change_configuration& change)
{
    Json::Value value;
    value["do"] = "change_configuration";
    value["base"] = number(change.base.value());
    value["change"] = change.change.str();
    value["author"] = change.author;
    value["content"] = change.content;
    return value;
}

Json::Value encode(const register_entry& change)
{
    Json::Value value;
    value["do"] = "register_entry";
    value["entry"] = to_value(change.entry);
    return value;
}

Json::Value encode(const set_entry_condition& change)
{
    Json::Value value;
    value["do"] = "set_entry_condition";
    value["entry"] = change.entry.str();
    value["incarnation"] = number(change.incarnation);
    value["condition"] = std::string(to_string(change.condition));
    return value;
}

Json::Value encode(const announce_member& change)
{
    Json::Value value;
    value["do"] = "announce_member";
    value["database"] = change.database.str();
    value["group_size"] = change.group_size;
    value["member"] = to_value(change.member);
    return value;
}

Json::Value encode(const begin_transition& change)
{
    Json::Value value;
    value["do"] = "begin_transition";
    value["database"] = change.database.str();
    value["base"] = number(change.base.value());
    value["reason"] = std::string(to_string(change.reason));
    value["planned"] = change.planned;
    value["driver"] = change.driver.str();
    return value;
}

Json::Value encode(const complete_transition& change)
{
    Json::Value value;
    value["do"] = "complete_transition";
    value["database"] = change.database.str();
    value["term"] = number(change.term.value());
    value["primary"] = change.primary.str();
    for (const auto& founder : change.founders) {
        value["founders"].append(founder.str());
    }
    return value;
}

command decode_change_configuration(const Json::Value& value)
{
    return change_configuration{.base = config_version(number_of(value, "base")),
                                .change = change_id(text_of(value, "change")),
                                .author = text_of(value, "author"),
                                .content = value["content"]};
}

command decode_register_entry(const Json::Value& value)
{
    return register_entry{.entry = entry_from(value["entry"])};
}

command decode_set_entry_condition(const Json::Value& value)
{
    return set_entry_condition{.entry = entry_id(text_of(value, "entry")),
                               .incarnation = number_of(value, "incarnation"),
                               .condition = enum_of<entry_condition>(
                                   entry_conditions, text_of(value, "condition"))};
}

command decode_announce_member(const Json::Value& value)
{
    return announce_member{.database = key_of(value),
                           .group_size =
                               static_cast<unsigned>(number_of(value, "group_size", 1)),
                           .member = member_from(value["member"])};
}

command decode_begin_transition(const Json::Value& value)
{
    return begin_transition{
        .database = key_of(value),
        .base = term(number_of(value, "base")),
        .reason = enum_of<transition_reason>(reasons, text_of(value, "reason")),
        .planned = flag_of(value, "planned"),
        .driver = entry_id(text_of(value, "driver"))};
}

command decode_complete_transition(const Json::Value& value)
{
    complete_transition change{.database = key_of(value),
                               .term = term(number_of(value, "term")),
                               .primary = member_id(text_of(value, "primary"))};
    for (const auto& founder : value["founders"]) {
        change.founders.insert(member_id(founder.asString()));
    }
    return change;
}

template <auto Decode>
command decoded(const Json::Value& value)
{
    return Decode(value);
}

command decode_read_barrier(const Json::Value&)
{
    return read_barrier{};
}

struct decoder
{
    std::string_view name;
    command (*decode)(const Json::Value&);
};

constexpr std::array<decoder, 15> decoders{{
    {"change_configuration", decode_change_configuration},
    {"register_entry", decode_register_entry},
    {"set_entry_condition", decode_set_entry_condition},
    {"announce_member", decode_announce_member},
    {"begin_transition", decode_begin_transition},
    {"complete_transition", decode_complete_transition},
    {"publish_configuration", decoded<publish_configuration_from>},
    {"register_keeper", decoded<register_keeper_from>},
    {"report_member", decoded<report_member_from>},
    {"remove_member", decoded<remove_member_from>},
    {"begin_promotion", decoded<begin_promotion_from>},
    {"choose_target", decoded<choose_target_from>},
    {"confirm_primary", decoded<confirm_primary_from>},
    {"suspect_primary", decoded<suspect_primary_from>},
    {"read_barrier", decode_read_barrier},
}};

} // namespace

std::string_view to_string(entry_condition condition) noexcept
{
    return entry_conditions[static_cast<std::size_t>(condition)];
}

std::string_view to_string(member_condition condition) noexcept
{
    return member_conditions[static_cast<std::size_t>(condition)];
}

std::string_view to_string(transition_reason reason) noexcept
{
    return reasons[static_cast<std::size_t>(reason)];
}

Json::Value to_value(const command& change)
{
    return std::visit([](const auto& one) { return encode(one); }, change);
}

result<command> command_from(const Json::Value& value)
{
    auto name = text_of(value, "do");
    for (const auto& row : decoders) {
        if (row.name != name) {
            continue;
        }
        return decode_guarded(row.name,
                              [&]() -> result<command> { return row.decode(value); });
    }
    return fail(error_kind::bad_request, "no command called \"" + name + "\"");
}

// One command that cannot be read would stop the replication of all that follow it.
result<std::string> encode_command(const command& change)
{
    auto text = to_json(to_value(change));
    BOOST_OUTCOME_TRY(auto parsed, parse_json(text));
    BOOST_OUTCOME_TRY(auto decoded, command_from(parsed));
    if (to_json(to_value(decoded)) != text) {
        return fail(error_kind::bad_request,
                    "the command \"" + text_of(parsed, "do") +
                        "\" holds a value that its encoding does not keep");
    }
    return text;
}

Json::Value to_value(const command_outcome& outcome)
{
    Json::Value value;
    value["accepted"] = outcome.accepted;
    value["version"] = number(outcome.version.value());
    if (!outcome.accepted) {
        value["problem"] = std::string(answer_of(outcome.problem.kind).name);
        value["detail"] = outcome.problem.detail;
    }
    return value;
}

result<command_outcome> outcome_from(const Json::Value& value)
{
    if (!value.isObject() || !value["accepted"].isBool()) {
        return fail(error_kind::bad_request, "not the outcome of a command");
    }
    command_outcome outcome;
    outcome.accepted = flag_of(value, "accepted");
    outcome.version = config_version(number_of(value, "version"));
    if (!outcome.accepted) {
        outcome.problem =
            fail(error_kind_of(text_of(value, "problem")), text_of(value, "detail"));
    }
    return outcome;
}

Json::Value control_state::snapshot() const
{
    Json::Value value;
    value["applied"] = number(applied_.value());
    auto& configuration = value["configuration"];
    configuration["version"] = number(configuration_.version.value());
    configuration["change"] = configuration_.change.str();
    configuration["author"] = configuration_.author;
    configuration["content"] = configuration_.content;
    value["past_changes"] = Json::Value(Json::arrayValue);
    for (const auto& past : past_changes_) {
        auto item = to_value(past.outcome);
        item["change"] = past.change.str();
        value["past_changes"].append(item);
    }
    value["entries"] = Json::Value(Json::arrayValue);
    for (const auto& [id, entry] : entries_) {
        value["entries"].append(to_value(entry));
    }
    value["databases"] = Json::Value(Json::arrayValue);
    for (const auto& [key, database] : databases_) {
        value["databases"].append(to_value(database));
    }
    value["pool"] = pool_.snapshot();
    return value;
}

result<control_state> control_state::from_snapshot(const Json::Value& value)
{
    return decode_guarded("snapshot", [&] { return decode_snapshot(value); });
}

result<control_state> control_state::decode_snapshot(const Json::Value& value)
{
    if (!value.isObject() || !value["databases"].isArray() || !value["entries"].isArray())
    {
        return fail(error_kind::bad_request, "not a snapshot of the control state");
    }
    control_state state;
    state.applied_ = control_index(number_of(value, "applied"));
    const auto& configuration = value["configuration"];
    state.configuration_.version = config_version(number_of(configuration, "version"));
    state.configuration_.change = change_id(text_of(configuration, "change"));
    state.configuration_.author = text_of(configuration, "author");
    state.configuration_.content = configuration["content"];
    for (const auto& item : value["past_changes"]) {
        auto outcome = outcome_from(item);
        if (!outcome) {
            return outcome.error();
        }
        state.past_changes_.push_back(
            {.change = change_id(text_of(item, "change")), .outcome = outcome.value()});
    }
    for (const auto& item : value["entries"]) {
        auto entry = entry_from(item);
        state.entries_[entry.id] = entry;
    }
    for (const auto& item : value["databases"]) {
        auto database = database_from(item);
        state.databases_[database.key] = database;
    }
    state.pool_ = pool_state::from_snapshot(value["pool"]);
    return state;
}

} // namespace papayabridge
