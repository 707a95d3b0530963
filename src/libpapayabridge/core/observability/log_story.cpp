#include "log_story.hpp"

#include "operator_view.hpp"

#include <algorithm>
#include <papayabridge/json.hpp>
#include <papayabridge/log.hpp>
#include <set>

namespace papayabridge {

namespace {

constexpr unsigned counter_bits = 16;

bool is_change(const Json::Value& line)
{
    auto name = text_of(line, "event");
    auto rows = log_events();
    return std::any_of(rows.begin(), rows.end(), [&](const auto& row) {
        return row.name == name && row.kind == log_class::change &&
               row.event != log_event::lines_held_back;
    });
}

std::string text_of_value(const Json::Value& value)
{
    return value.isString() ? value.asString() : to_json(value);
}

} // namespace

void read_log(std::istream& in, log_lines& to)
{
    for (std::string line; std::getline(in, line);) {
        auto begin = line.find('{');
        if (begin == std::string::npos) {
            to.unreadable += line.empty() ? 0 : 1;
            continue;
        }
        auto read = parse_json(line.substr(begin));
        bool ours = read && read.value().isObject() && read.value()["stamp"].isUInt64() &&
                    read.value()["event"].isString();
        if (ours) {
            to.lines.push_back(std::move(read.value()));
        } else {
            ++to.unreadable;
        }
    }
}

void put_in_order(log_lines& all)
{
    Json::Value list(Json::arrayValue);
    for (auto& line : all.lines) {
        list.append(std::move(line));
    }
    all.lines = merge_events({std::move(list)});
}

std::string log_line_text(const Json::Value& line)
{
    auto text = time_of_stamp(number_of(line, "stamp")) + " " + text_of(line, "process") +
                " " + text_of(line, "event");
    for (const auto& name : line.getMemberNames()) {
        if (name == "stamp" || name == "process" || name == "event") {
            continue;
        }
        auto value = text_of_value(line[name]);
        bool quoted = value.empty() || value.find(' ') != std::string::npos;
        text += " " + name + "=" + (quoted ? "\"" + value + "\"" : value);
    }
    return text;
}

request_story story_of(const log_lines& all, const std::string& request,
                       std::uint64_t within_ms)
{
    request_story story;
    std::set<std::string> processes;
    std::set<std::string> members;
    for (const auto& line : all.lines) {
        if (text_of(line, "request") != request) {
            continue;
        }
        story.own.push_back(line);
        processes.insert(text_of(line, "process"));
        members.insert(text_of(line, "member"));
    }
    members.erase("");
    if (story.own.empty()) {
        return story;
    }
    auto span = within_ms << counter_bits;
    auto first = number_of(story.own.front(), "stamp");
    auto from = first - std::min(first, span);
    auto to = number_of(story.own.back(), "stamp") + span;
    for (const auto& line : all.lines) {
        auto stamp = number_of(line, "stamp");
        bool near = processes.count(text_of(line, "process")) != 0;
        bool about = members.count(text_of(line, "member")) != 0;
        if (stamp >= from && stamp <= to && (near || about) && is_change(line)) {
            story.around.push_back(line);
        }
    }
    return story;
}

} // namespace papayabridge
