#include "consensus_codec.hpp"

#include <array>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

template <class Count>
Json::Value number(Count count)
{
    return Json::UInt64(count.value());
}

template <class Count>
Count count_of(const Json::Value& value, const char* name)
{
    return Count(number_of(value, name));
}

constexpr std::array<const char*, 6> type_names{"vote_request",     "vote_response",
                                                "append_request",   "append_response",
                                                "snapshot_request", "timeout_now"};

void put(Json::Value& value, std::string&, const vote_request& request)
{
    value["pre_vote"] = request.pre_vote;
    value["transfer"] = request.transfer;
    value["last_index"] = number(request.last_index);
    value["last_term"] = number(request.last_term);
    value["voter"] = number(request.voter);
    value["accepted_index"] = number(request.membership_index);
    value["accepted_term"] = number(request.membership_term);
}

void put(Json::Value& value, std::string&, const vote_response& response)
{
    value["pre_vote"] = response.pre_vote;
    value["granted"] = response.granted;
}

void put(Json::Value& value, std::string& bulk, const append_request& request)
{
    value["previous_index"] = number(request.previous_index);
    value["previous_term"] = number(request.previous_term);
    value["commit"] = number(request.commit);
    if (!request.entries.empty()) {
        bulk = to_json(to_value(request.entries));
    }
}

void put(Json::Value& value, std::string&, const append_response& response)
{
    value["matched"] = response.matched;
    value["index"] = number(response.index);
    value["commit"] = number(response.commit);
}

void put(Json::Value& value, std::string& bulk, const snapshot_request& request)
{
    value["snapshot"] = header_to_value(request.snapshot);
    bulk = request.snapshot.state;
}

void put(Json::Value&, std::string&, const timeout_now&) {}

result<message_body> take_vote_request(const encoded_message& message)
{
    return vote_request{
        .pre_vote = flag_of(message.body, "pre_vote"),
        .transfer = flag_of(message.body, "transfer"),
        .last_index = count_of<control_index>(message.body, "last_index"),
        .last_term = count_of<keeper_term>(message.body, "last_term"),
        .voter = count_of<keeper_incarnation>(message.body, "voter"),
        .membership_index = count_of<control_index>(message.body, "accepted_index"),
        .membership_term = count_of<keeper_term>(message.body, "accepted_term")};
}

result<message_body> take_vote_response(const encoded_message& message)
{
    return vote_response{.pre_vote = flag_of(message.body, "pre_vote"),
                         .granted = flag_of(message.body, "granted")};
}

result<message_body> take_append_request(const encoded_message& message)
{
    append_request request;
    request.previous_index = count_of<control_index>(message.body, "previous_index");
    request.previous_term = count_of<keeper_term>(message.body, "previous_term");
    request.commit = count_of<control_index>(message.body, "commit");
    if (message.bulk.empty()) {
        return request;
    }
    auto parsed = parse_json(message.bulk);
    if (!parsed) {
        return parsed.error();
    }
    auto entries = log_entries_from(parsed.value());
    if (!entries) {
        return entries.error();
    }
    request.entries = std::move(entries.value());
    auto expected = request.previous_index;
    for (const auto& entry : request.entries) {
        expected = expected.next();
        if (entry.index != expected) {
            return fail(error_kind::bad_request, "entries are not consecutive");
        }
    }
    return request;
}

result<message_body> take_append_response(const encoded_message& message)
{
    return append_response{.matched = flag_of(message.body, "matched"),
                           .index = count_of<control_index>(message.body, "index"),
                           .commit = count_of<control_index>(message.body, "commit")};
}

result<message_body> take_snapshot_request(const encoded_message& message)
{
    snapshot_request request{.snapshot = header_from(message.body["snapshot"])};
    request.snapshot.state = message.bulk;
    return request;
}

result<message_body> take_timeout_now(const encoded_message&)
{
    return timeout_now{};
}

using taker = result<message_body> (*)(const encoded_message&);
constexpr std::array<taker, type_names.size()> takers{
    take_vote_request,    take_vote_response,    take_append_request,
    take_append_response, take_snapshot_request, take_timeout_now};

} // namespace

encoded_message encode(const consensus_message& message)
{
    encoded_message encoded;
    encoded.body["type"] = type_names.at(message.body.index());
    encoded.body["from"] = message.from.str();
    encoded.body["from_incarnation"] = number(message.from_incarnation);
    encoded.body["to"] = message.to.str();
    encoded.body["term"] = number(message.term);
    std::visit([&encoded](const auto& body) { put(encoded.body, encoded.bulk, body); },
               message.body);
    return encoded;
}

result<consensus_message> decode(const encoded_message& message)
{
    auto type = text_of(message.body, "type");
    for (std::size_t i = 0; i < takers.size(); ++i) {
        if (type != type_names.at(i)) {
            continue;
        }
        auto body = takers.at(i)(message);
        if (!body) {
            return body.error();
        }
        return consensus_message{.from = keeper_id(text_of(message.body, "from")),
                                 .from_incarnation = count_of<keeper_incarnation>(
                                     message.body, "from_incarnation"),
                                 .to = keeper_id(text_of(message.body, "to")),
                                 .term = count_of<keeper_term>(message.body, "term"),
                                 .body = std::move(body.value())};
    }
    return fail(error_kind::bad_request, "no consensus message of type \"" + type + "\"");
}

Json::Value to_value(const log_entry& entry)
{
    Json::Value value;
    value["index"] = number(entry.index);
    value["term"] = number(entry.term);
    if (const auto* command = std::get_if<command_text>(&entry.body)) {
        value["command"] = command->json;
    }
    if (const auto* admitted = std::get_if<admit_keeper>(&entry.body)) {
        value["admit"] = admitted->id.str();
        value["incarnation"] = number(admitted->incarnation);
        if (!admitted->replaces.empty()) {
            value["replaces"] = admitted->replaces.str();
        }
    }
    return value;
}

result<log_entry> log_entry_from(const Json::Value& value)
{
    if (!value.isObject()) {
        return fail(error_kind::bad_request, "not a log entry");
    }
    log_entry entry;
    entry.index = count_of<control_index>(value, "index");
    entry.term = count_of<keeper_term>(value, "term");
    if (entry.index.value() == 0 || entry.term.value() == 0) {
        return fail(error_kind::bad_request, "not a log entry");
    }
    if (value.isMember("command")) {
        entry.body = command_text{text_of(value, "command")};
    } else if (value.isMember("admit")) {
        entry.body = admit_keeper{.id = keeper_id(text_of(value, "admit")),
                                  .incarnation =
                                      count_of<keeper_incarnation>(value, "incarnation"),
                                  .replaces = keeper_id(text_of(value, "replaces"))};
    }
    return entry;
}

Json::Value to_value(const std::vector<log_entry>& entries)
{
    Json::Value list(Json::arrayValue);
    for (const auto& entry : entries) {
        list.append(to_value(entry));
    }
    return list;
}

result<std::vector<log_entry>> log_entries_from(const Json::Value& value)
{
    std::vector<log_entry> entries;
    for (const auto& item : value) {
        auto entry = log_entry_from(item);
        if (!entry) {
            return entry.error();
        }
        entries.push_back(std::move(entry.value()));
    }
    return entries;
}

Json::Value to_value(const voter_map& voters)
{
    Json::Value value(Json::objectValue);
    for (const auto& [id, incarnation] : voters) {
        value[id.str()] = number(incarnation);
    }
    return value;
}

voter_map voters_from(const Json::Value& value)
{
    voter_map voters;
    if (!value.isObject()) {
        return voters;
    }
    for (const auto& name : value.getMemberNames()) {
        voters[keeper_id(name)] = count_of<keeper_incarnation>(value, name.c_str());
    }
    return voters;
}

Json::Value to_value(const hard_state& hard)
{
    Json::Value value;
    value["term"] = number(hard.term);
    value["voted_for"] = hard.voted_for.str();
    value["accepted_membership"] = number(hard.committed_membership);
    return value;
}

hard_state hard_state_from(const Json::Value& value)
{
    return {.term = count_of<keeper_term>(value, "term"),
            .voted_for = keeper_id(text_of(value, "voted_for")),
            .committed_membership =
                count_of<control_index>(value, "accepted_membership")};
}

Json::Value header_to_value(const log_snapshot& snapshot)
{
    Json::Value value;
    value["index"] = number(snapshot.index);
    value["term"] = number(snapshot.term);
    value["voters"] = to_value(snapshot.voters);
    return value;
}

log_snapshot header_from(const Json::Value& value)
{
    log_snapshot snapshot;
    snapshot.index = count_of<control_index>(value, "index");
    snapshot.term = count_of<keeper_term>(value, "term");
    snapshot.voters = voters_from(value.isObject() ? value["voters"] : Json::Value());
    return snapshot;
}

} // namespace papayabridge
