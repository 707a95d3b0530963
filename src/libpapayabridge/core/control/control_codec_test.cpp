#include "core/consensus/consensus_codec.hpp"

#include <gtest/gtest.h>
#include <papayabridge/control_state.hpp>
#include <papayabridge/json.hpp>
#include <papayabridge/keeper_client.hpp>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

// Text of a caller: mostly readable, sometimes any bytes.
rc::Gen<std::string> any_text()
{
    return rc::gen::map(rc::gen::pair(rc::gen::inRange(0, 4),
                                      rc::gen::arbitrary<std::vector<std::uint8_t>>()),
                        [](const std::pair<int, std::vector<std::uint8_t>>& drawn) {
                            std::string text(drawn.second.begin(), drawn.second.end());
                            return drawn.first == 0 ? text : replace_invalid_utf8(text);
                        });
}

pooled_member any_member()
{
    return {.run = {.id = member_id(*any_text()),
                    .started_ms = *rc::gen::arbitrary<std::uint64_t>()},
            .service = service_name(*any_text()),
            .endpoint = *any_text(),
            .domain = domain_name(*any_text()),
            .slots = *rc::gen::arbitrary<unsigned>(),
            .leaving = *rc::gen::arbitrary<bool>(),
            .claims_primary = *rc::gen::arbitrary<bool>(),
            .sequence = *rc::gen::arbitrary<std::uint64_t>()};
}

Json::Value any_content()
{
    Json::Value content(Json::objectValue);
    content[*any_text()] = *any_text();
    auto depth = *rc::gen::inRange(0, 60);
    for (int level = 0; level < depth; ++level) {
        Json::Value outer(Json::objectValue);
        outer["in"] = std::move(content);
        content = std::move(outer);
    }
    return content;
}

command any_command()
{
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        return report_member{.member = any_member()};
    case 1:
        return remove_member{.run = any_member().run};
    case 2:
        return begin_promotion{.service = service_name(*any_text()),
                               .reason = *any_text()};
    case 3:
        return publish_configuration{
            .configuration = {.version = config_version(7), .text = *any_text()}};
    case 4:
        return register_entry{.entry = {.id = entry_id(*any_text()),
                                        .http = *any_text(),
                                        .rpc = *any_text(),
                                        .domain = domain_name(*any_text())}};
    case 5:
        return register_keeper{
            .keeper = {.id = keeper_id(*any_text()), .rpc = *any_text()}};
    case 6:
        return change_configuration{.base = config_version(0),
                                    .change = change_id(*any_text()),
                                    .author = *any_text(),
                                    .content = any_content()};
    case 7:
        return suspect_primary{.service = service_name(*any_text()),
                               .primary = member_id(*any_text()),
                               .is_suspected = *rc::gen::arbitrary<bool>()};
    default: {
        announce_member change{.database = {service_name("s"), database_name("d")}};
        change.member.id = member_id(*any_text());
        change.member.endpoint = *any_text();
        change.member.slots = *rc::gen::arbitrary<unsigned>();
        return change;
    }
    }
}

} // namespace

// What a leader writes, each follower and each later version has to read: from an append,
// from the log, from a snapshot and as a watcher.
RC_GTEST_PROP(control_codec, command_is_refused_or_read_back_everywhere, ())
{
    control_state state;
    std::vector<log_entry> entries;
    watch_update update;
    auto count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
        auto change = any_command();
        auto text = encode_command(change);
        if (!text) {
            continue;
        }
        RC_ASSERT(is_utf8(text.value()));
        auto index = control_index(entries.size() + 1);
        entries.push_back(
            {.index = index, .term = keeper_term(1), .body = command_text{text.value()}});
        state.apply(index, change);
        update.commands.push_back({.index = index, .change = change});
    }
    RC_PRE(!entries.empty());
    consensus_message message{.from = keeper_id("k1"),
                              .to = keeper_id("k2"),
                              .term = keeper_term(1),
                              .body = append_request{.entries = entries}};
    auto read = decode(encode(message));
    RC_ASSERT(read.has_value());
    const auto& received = std::get<append_request>(read.value().body).entries;
    RC_ASSERT(received.size() == entries.size());
    control_state follower;
    for (const auto& entry : received) {
        auto change = parse_json(std::get<command_text>(entry.body).json);
        RC_ASSERT(change.has_value());
        follower.apply(entry.index, command_from(change.value()).value());
    }
    auto snapshot = to_json(state.snapshot());
    RC_ASSERT(to_json(follower.snapshot()) == snapshot);
    json_options options{.max_depth = 64};
    auto installed = parse_json(snapshot, options);
    RC_ASSERT(installed.has_value());
    RC_ASSERT(
        to_json(control_state::from_snapshot(installed.value()).value().snapshot()) ==
        snapshot);
    auto watched =
        watch_update_from(parse_json(to_json(to_value(update)), options).value());
    RC_ASSERT(watched.has_value());
    RC_ASSERT(watched.value().commands.size() == update.commands.size());
}

// A process that got one odd message ended by an exception of the JSON library.
TEST(control_codec, message_with_values_of_other_types_is_refused)
{
    for (const auto* text : {R"({"do":"complete_transition","founders":[{}]})",
                             R"({"do":"report_member","member":7})",
                             R"({"do":"register_entry","entry":[]})"})
    {
        auto value = parse_json(text).value();
        EXPECT_NO_THROW(static_cast<void>(command_from(value))) << text;
    }
    for (
        const auto* text :
        {R"({"applied":1,"commands":[3]})", R"({"applied":1,"commands":{"a":"b"}})",
         R"({"applied":1,"snapshot":{"databases":[4],"entries":[5]}})",
         R"({"applied":1,"snapshot":{"databases":[],"entries":[],"pool":{"services":3}}})",
         R"({"applied":1,"snapshot":{"databases":[],"entries":[],"pool":{"removed":[1]}}})"})
    {
        auto value = parse_json(text).value();
        EXPECT_NO_THROW(static_cast<void>(watch_update_from(value))) << text;
    }
    auto status = parse_json(R"({"id":"k1","peers":[1],"alarms":{}})").value();
    EXPECT_NO_THROW(static_cast<void>(keeper_status_from(status)));
}

} // namespace papayabridge
