#include "measure.hpp"
#include "slopes.hpp"

#include <papayabridge/control_state.hpp>
#include <papayabridge/json.hpp>
#include <papayabridge/token.hpp>

namespace papayabench {

namespace {

using namespace papayabridge;

constexpr unsigned domain_count = 6;
constexpr unsigned members_each = 3;
constexpr std::size_t full_entries = 690;
constexpr std::size_t full_databases = 810;
constexpr std::size_t kilobyte = 1024;

domain_name domain_of(std::size_t i)
{
    return domain_name("domain-" + std::to_string(i % domain_count));
}

region_name region_of(std::size_t i)
{
    return region_name(i % domain_count < domain_count / 2 ? "south" : "north");
}

entry_id entry_name(std::size_t i)
{
    return entry_id("entry-" + std::to_string(i));
}

command entry_command(std::size_t i)
{
    register_entry change;
    change.entry.id = entry_name(i);
    change.entry.incarnation = 1;
    change.entry.http = "10.0." + std::to_string(i / 250) + ".1:8080";
    change.entry.rpc = "10.0." + std::to_string(i / 250) + ".1:8081";
    change.entry.domain = domain_of(i);
    change.entry.region = region_of(i);
    return change;
}

database_key database_name_of(std::size_t i)
{
    return {service_name("service-" + std::to_string(i / 10)),
            database_name("database-" + std::to_string(i))};
}

command member_command(std::size_t database, std::size_t i)
{
    announce_member change;
    change.database = database_name_of(database);
    change.group_size = members_each;
    change.member.id =
        member_id("member-" + std::to_string(database) + "-" + std::to_string(i));
    change.member.endpoint = "10.1.0.1:5432";
    change.member.domain = domain_of(database + i);
    change.member.region = region_of(database + i);
    change.member.slots = 5;
    change.member.connections = 35;
    return change;
}

command promotion_command(std::size_t database)
{
    complete_transition change;
    change.database = database_name_of(database);
    change.term = term(1);
    change.primary = member_id("member-" + std::to_string(database) + "-0");
    return change;
}

// All commands that lead to `entries` entries and `databases` formed databases.
std::vector<command> commands_of(std::size_t entries, std::size_t databases)
{
    std::vector<command> commands;
    for (std::size_t i = 0; i < entries; ++i) {
        commands.push_back(entry_command(i));
    }
    for (std::size_t i = 0; i < databases; ++i) {
        for (unsigned k = 0; k < members_each; ++k) {
            commands.push_back(member_command(i, k));
        }
        commands.push_back(promotion_command(i));
    }
    return commands;
}

control_state state_of(const std::vector<command>& commands)
{
    control_state state;
    std::uint64_t index = 0;
    for (const auto& change : commands) {
        state.apply(control_index(++index), change);
    }
    return state;
}

change_configuration configuration_of(std::size_t bytes)
{
    change_configuration change;
    change.change = change_id("change");
    change.author = "operator";
    Json::Value services(Json::objectValue);
    while (to_json(services).size() < bytes) {
        Json::Value service;
        service["ranks"]["urgent"]["target_ms"] = 200;
        service["ranks"]["normal"]["target_ms"] = 1000;
        service["ranks"]["batch"]["share_percent"] = 20;
        service["read_kinds"]["stock"] = 2000;
        services["service-" + std::to_string(services.size())] = service;
    }
    change.content["services"] = services;
    return change;
}

// Databases that intend a move now.
std::size_t moves_in(const control_state& state)
{
    std::size_t moves = 0;
    for (const auto& [key, database] : state.databases()) {
        moves += database.pending ? 1 : 0;
    }
    return moves;
}

// Completes every move, with the primary as it was.
void complete_moves(control_state& state, std::uint64_t& index)
{
    auto databases = state.databases();
    for (const auto& [key, database] : databases) {
        if (database.pending) {
            complete_transition change;
            change.database = key;
            change.term = database.pending->term;
            change.primary = database.primary;
            state.apply(control_index(++index), change);
        }
    }
}

std::uint64_t terms_in(const control_state& state)
{
    std::uint64_t sum = 0;
    for (const auto& [key, database] : state.databases()) {
        sum += database.highest_term().value();
    }
    return sum;
}

std::size_t most_gates(const control_state& state)
{
    std::map<entry_id, std::size_t> gates;
    for (const auto& [key, database] : state.databases()) {
        for (const auto& [id, member] : database.members) {
            ++gates[member.gate];
        }
    }
    std::size_t most = 0;
    for (const auto& [entry, count] : gates) {
        most = std::max(most, count);
    }
    return most;
}

} // namespace

void measure_databases(Json::Value& rows)
{
    constexpr std::size_t repeats = 200;
    for (std::size_t count : {100, 200, 400, 810}) {
        auto commands = commands_of(full_entries, count);
        auto before = heap_bytes();
        auto state = state_of(commands);
        auto held = heap_bytes() - before;
        std::uint64_t index = commands.size();
        auto apply = cpu_us_each(repeats, [&](std::size_t i) {
            state.apply(control_index(++index), member_command(i % count, 0));
        });
        std::string text;
        auto snapshot =
            cpu_us_each(5, [&](std::size_t) { text = to_json(state.snapshot()); });
        auto load = cpu_us_each(5, [&](std::size_t) {
            auto value = parse_json(text);
            static_cast<void>(control_state::from_snapshot(value.value()));
        });
        auto size = static_cast<double>(count);
        auto bytes = static_cast<double>(text.size());
        add_sample(rows,
                   {"databases", "state held", "KB", size, double(held) / kilobyte});
        add_sample(rows, {"databases", "apply one announcement", "us", size, apply});
        add_sample(rows, {"databases", "snapshot size", "KB", size, bytes / kilobyte});
        add_sample(rows, {"databases", "write snapshot", "ms", size, snapshot / 1000});
        add_sample(rows, {"databases", "read snapshot", "ms", size, load / 1000});
    }
}

void measure_entries(Json::Value& rows)
{
    for (std::size_t count : {100, 200, 400, 690}) {
        auto commands = commands_of(count, full_databases);
        auto before = heap_bytes();
        auto state = state_of(commands);
        auto held = heap_bytes() - before;
        std::uint64_t index = commands.size();
        // Every sixth entry is of one failure domain.
        auto lost = (count + domain_count - 1) / domain_count;
        auto set_condition = [&](entry_condition condition) {
            return cpu_us_each(lost, [&](std::size_t i) {
                set_entry_condition change;
                change.entry = entry_name(i * domain_count);
                change.incarnation = 1;
                change.condition = condition;
                state.apply(control_index(++index), change);
            });
        };
        auto down = set_condition(entry_condition::down);
        auto moves = moves_in(state);
        complete_moves(state, index);
        auto terms = terms_in(state);
        auto back = set_condition(entry_condition::up);
        auto terms_given = terms_in(state) - terms;
        complete_moves(state, index);
        auto size = static_cast<double>(count);
        add_sample(rows, {"entries", "terms given out when a domain returns", "terms",
                          size, double(terms_given)});
        add_sample(rows, {"entries", "gates of the busiest entry after the return",
                          "gates", size, double(most_gates(state))});
        add_sample(rows, {"entries", "state held", "KB", size, double(held) / kilobyte});
        add_sample(rows, {"entries", "apply the loss of one entry", "us", size, down});
        add_sample(rows, {"entries", "apply the return of one entry", "us", size, back});
        add_sample(rows, {"entries", "databases that move when a domain is lost", "moves",
                          size, double(moves)});
    }
}

void measure_configuration(Json::Value& rows)
{
    constexpr std::size_t repeats = 20;
    for (std::size_t kilobytes : {4, 16, 64, 256}) {
        auto change = configuration_of(kilobytes * kilobyte);
        control_state state;
        std::uint64_t index = 0;
        std::string text;
        auto write = cpu_us_each(
            repeats, [&](std::size_t) { text = to_json(to_value(command(change))); });
        json_options deep;
        auto read = cpu_us_each(repeats, [&](std::size_t) {
            auto value = parse_json(text, deep);
            auto parsed = command_from(value.value());
            static_cast<void>(state.apply(control_index(++index), parsed.value()));
        });
        auto size = static_cast<double>(kilobytes);
        add_sample(rows, {"configuration size", "bytes on the wire", "KB", size,
                          double(text.size()) / kilobyte});
        add_sample(rows,
                   {"configuration size", "write one change", "ms", size, write / 1000});
        add_sample(rows, {"configuration size", "read and apply one change", "ms", size,
                          read / 1000});
    }
}

void measure_log_length(Json::Value& rows)
{
    auto small = to_json(to_value(member_command(0, 0)));
    for (std::size_t length : {1000, 2000, 4000, 8000}) {
        control_state state = state_of(commands_of(full_entries, 100));
        std::uint64_t index = state.applied_index().value();
        auto each = cpu_us_each(length, [&](std::size_t) {
            auto value = parse_json(small);
            auto parsed = command_from(value.value());
            state.apply(control_index(++index), parsed.value());
        });
        auto size = static_cast<double>(length);
        add_sample(rows, {"log length", "replay", "ms", size, each * size / 1000});
        add_sample(rows, {"log length", "log size", "KB", size,
                          double(small.size() * length) / kilobyte});
    }
}

void measure_tokens(Json::Value& rows)
{
    constexpr std::size_t repeats = 5000;
    token_codec codec("the fleet's key of this measurement");
    for (std::size_t count : {1, 2, 4, 8, 16}) {
        session_watermarks marks;
        for (std::size_t i = 0; i < count; ++i) {
            marks.advance(database_name_of(i), {term(3), log_index(1'000'000 + i)});
        }
        std::string token;
        auto encode =
            cpu_us_each(repeats, [&](std::size_t) { token = codec.encode(marks); });
        auto decode = cpu_us_each(
            repeats, [&](std::size_t) { static_cast<void>(codec.decode(token)); });
        auto size = static_cast<double>(count);
        add_sample(rows, {"databases in a session", "write a token", "us", size, encode});
        add_sample(rows, {"databases in a session", "check a token", "us", size, decode});
        add_sample(rows, {"databases in a session", "token size", "bytes", size,
                          double(token.size())});
    }
}

} // namespace papayabench
