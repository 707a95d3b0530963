// JSON form of the messages of keeper_client.hpp.

#include "core/control/packed_text.hpp"

#include <papayabridge/json.hpp>
#include <papayabridge/keeper_client.hpp>

namespace papayabridge {

namespace {

Json::Value ids_to_value(const std::vector<keeper_id>& ids)
{
    Json::Value list(Json::arrayValue);
    for (const auto& id : ids) {
        list.append(id.str());
    }
    return list;
}

std::vector<std::string> texts_from(const Json::Value& list)
{
    std::vector<std::string> texts;
    for (const auto& item : list) {
        if (item.isString()) {
            texts.push_back(item.asString());
        }
    }
    return texts;
}

std::vector<keeper_id> ids_from(const Json::Value& list)
{
    std::vector<keeper_id> ids;
    for (auto& text : texts_from(list)) {
        ids.emplace_back(std::move(text));
    }
    return ids;
}

Json::Value peer_to_value(const keeper_peer& peer)
{
    Json::Value value;
    value["id"] = peer.id.str();
    if (peer.since_contact) {
        value["silent_ms"] = Json::UInt64(peer.since_contact->count());
    }
    return value;
}

keeper_peer peer_from(const Json::Value& value)
{
    keeper_peer peer;
    peer.id = keeper_id(text_of(value, "id"));
    if (value.isMember("silent_ms")) {
        peer.since_contact = std::chrono::milliseconds(number_of(value, "silent_ms"));
    }
    return peer;
}

// Deeper than any command or snapshot.
constexpr unsigned max_update_depth = 64;
// Shorter changes are not packed: little would be saved.
constexpr std::size_t min_packed_bytes = 600;
// A longer age changes no decision, and more would not fit into a time point.
constexpr std::uint64_t max_state_age_ms = 60ULL * 60 * 1000;

// The part of the answer that holds the snapshot or the commands.
result<Json::Value> changes_from(const Json::Value& value)
{
    if (!value["packed"].isString()) {
        return value;
    }
    BOOST_OUTCOME_TRY(auto text, unpack_text(value["packed"].asString()));
    json_options options;
    options.max_depth = max_update_depth;
    return parse_json(text, options);
}

result<watch_update> decode_watch_update(const Json::Value& value)
{
    if (!value.isObject() || !value["applied"].isUInt64()) {
        return fail(error_kind::bad_request, "not an answer to keeper.watch");
    }
    watch_update update;
    update.applied = control_index(number_of(value, "applied"));
    update.is_current = flag_of(value, "leader_known");
    // Earlier versions do not tell.
    update.state_age = std::chrono::milliseconds(
        std::min(number_of(value, "state_age_ms"), max_state_age_ms));
    update.is_up_to_date = flag_of(value, "newest");
    if (value.isMember("confirmed_ms")) {
        update.confirmed_age = std::chrono::milliseconds(
            std::min(number_of(value, "confirmed_ms"), max_state_age_ms));
    }
    auto changes = changes_from(value);
    if (!changes) {
        return changes.error();
    }
    if (changes.value()["snapshot"].isObject()) {
        auto state = control_state::from_snapshot(changes.value()["snapshot"]);
        if (!state) {
            return state.error();
        }
        update.snapshot = std::move(state.value());
    }
    for (const auto& item : changes.value()["commands"]) {
        auto change = command_from(item["command"]);
        if (!change) {
            return change.error();
        }
        update.commands.push_back({.index = control_index(number_of(item, "index")),
                                   .change = std::move(change.value())});
    }
    return update;
}

result<keeper_status> decode_keeper_status(const Json::Value& value)
{
    if (!value.isObject() || !value["id"].isString()) {
        return fail(error_kind::bad_request, "not an answer to keeper.status");
    }
    keeper_status status;
    status.id = keeper_id(text_of(value, "id"));
    status.role = text_of(value, "role");
    status.term = number_of(value, "term");
    status.leader = keeper_id(text_of(value, "leader"));
    // Earlier versions do not tell.
    status.is_current = value.isMember("is_current") ? flag_of(value, "is_current")
                                                     : !status.leader.empty();
    status.applied = control_index(number_of(value, "applied"));
    status.committed = control_index(number_of(value, "committed"));
    status.voters = ids_from(value["voters"]);
    status.learners = ids_from(value["learners"]);
    for (const auto& peer : value["peers"]) {
        status.peers.push_back(peer_from(peer));
    }
    status.storage = text_of(value, "storage");
    status.alarms = texts_from(value["alarms"]);
    return status;
}

} // namespace

Json::Value changes_of(const watch_update& update)
{
    Json::Value value;
    if (update.snapshot) {
        value["snapshot"] = update.snapshot->snapshot();
        return value;
    }
    value["commands"] = Json::Value(Json::arrayValue);
    for (const auto& command : update.commands) {
        Json::Value item;
        item["index"] = Json::UInt64(command.index.value());
        item["command"] = to_value(command.change);
        value["commands"].append(std::move(item));
    }
    return value;
}

Json::Value pack_changes(Json::Value changes)
{
    auto text = to_json(changes);
    if (text.size() < min_packed_bytes) {
        return changes;
    }
    Json::Value value;
    value["packed"] = pack_text(text);
    return value;
}

Json::Value to_value(const watch_update& update, Json::Value changes)
{
    auto value = std::move(changes);
    value["applied"] = Json::UInt64(update.applied.value());
    // The name of earlier versions, which meant contact with a leader only.
    value["leader_known"] = update.is_current;
    value["state_age_ms"] = Json::UInt64(update.state_age.count());
    value["newest"] = update.is_up_to_date;
    if (update.confirmed_age) {
        value["confirmed_ms"] = Json::UInt64(update.confirmed_age->count());
    }
    return value;
}

Json::Value to_value(const watch_update& update)
{
    return to_value(update, changes_of(update));
}

result<watch_update> watch_update_from(const Json::Value& value)
{
    return decode_guarded("watch update", [&] { return decode_watch_update(value); });
}

Json::Value to_value(const keeper_status& status)
{
    Json::Value value;
    value["id"] = status.id.str();
    value["role"] = status.role;
    value["term"] = Json::UInt64(status.term);
    value["leader"] = status.leader.str();
    value["is_current"] = status.is_current;
    value["applied"] = Json::UInt64(status.applied.value());
    value["committed"] = Json::UInt64(status.committed.value());
    value["voters"] = ids_to_value(status.voters);
    value["learners"] = ids_to_value(status.learners);
    value["peers"] = Json::Value(Json::arrayValue);
    for (const auto& peer : status.peers) {
        value["peers"].append(peer_to_value(peer));
    }
    value["storage"] = status.storage;
    value["alarms"] = Json::Value(Json::arrayValue);
    for (const auto& alarm : status.alarms) {
        value["alarms"].append(alarm);
    }
    return value;
}

result<keeper_status> keeper_status_from(const Json::Value& value)
{
    return decode_guarded("keeper status", [&] { return decode_keeper_status(value); });
}

} // namespace papayabridge
