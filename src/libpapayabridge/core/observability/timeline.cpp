// The merged time line of events, and the story of one request.

#include "operator_view.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <papayabridge/events.hpp>
#include <papayabridge/json.hpp>
#include <set>

namespace papayabridge {

namespace {

constexpr unsigned counter_bits = 16;

bool is_event(const Json::Value& value)
{
    return value.isObject() && value["stamp"].isUInt64() && value["event"].isString();
}

bool happened_before(const Json::Value& one, const Json::Value& other)
{
    auto stamp = number_of(one, "stamp");
    auto other_stamp = number_of(other, "stamp");
    if (stamp != other_stamp) {
        return stamp < other_stamp;
    }
    return text_of(one, "process") < text_of(other, "process");
}

bool is_kind(const Json::Value& event, event_kind kind)
{
    return text_of(event, "event") == to_string(kind);
}

// The processes that recorded `kind`, in order, each once.
std::vector<std::string> processes_with(const std::vector<Json::Value>& events,
                                        event_kind kind)
{
    std::vector<std::string> processes;
    for (const auto& event : events) {
        auto process = text_of(event, "process");
        bool known = std::count(processes.begin(), processes.end(), process) != 0;
        if (is_kind(event, kind) && !known) {
            processes.push_back(process);
        }
    }
    return processes;
}

std::size_t count_of(const std::vector<Json::Value>& events, event_kind kind)
{
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(),
                      [kind](const Json::Value& event) { return is_kind(event, kind); }));
}

std::string joined(const std::vector<std::string>& words)
{
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : " and ") + word;
    }
    return text;
}

struct phrase
{
    event_kind kind;
    std::string_view text;
};
constexpr std::array<phrase, 3> steps{{
    {event_kind::request_received, "was received by "},
    {event_kind::request_queued, "was queued at "},
    {event_kind::request_sent, "was sent to a member by "},
}};

// The outcome that the caller saw is the last one.
std::string ending_of(const std::vector<Json::Value>& events)
{
    for (auto event = events.rbegin(); event != events.rend(); ++event) {
        bool answered = is_kind(*event, event_kind::request_answered);
        if (!answered && !is_kind(*event, event_kind::request_refused)) {
            continue;
        }
        std::string verb = answered ? "was answered by " : "was refused by ";
        auto detail = text_of(*event, "detail");
        return verb + text_of(*event, "process") + (detail.empty() ? "" : ": " + detail);
    }
    return "has no recorded answer: it is in progress, or the entry that took it stopped";
}

} // namespace

std::vector<Json::Value> merge_events(const std::vector<Json::Value>& lists)
{
    std::vector<Json::Value> merged;
    for (const auto& list : lists) {
        if (!list.isArray()) {
            continue;
        }
        std::copy_if(list.begin(), list.end(), std::back_inserter(merged), is_event);
    }
    std::stable_sort(merged.begin(), merged.end(), happened_before);
    merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
    return merged;
}

std::string time_of_stamp(std::uint64_t stamp)
{
    constexpr std::size_t text_size = 32;
    auto ms = stamp >> counter_bits;
    auto whole = static_cast<std::time_t>(ms / 1000);
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, text_size> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    auto fraction = std::to_string(1000 + ms % 1000);
    return std::string(text.data()) + "." + fraction.substr(1);
}

std::string event_line(const Json::Value& event)
{
    auto stamp = number_of(event, "stamp");
    std::string line = time_of_stamp(stamp) + " " + std::to_string(stamp) + " " +
                       text_of(event, "process") + " " + text_of(event, "event");
    for (const auto* name : {"request", "database", "detail"}) {
        auto text = text_of(event, name);
        line += text.empty() ? "" : " " + text;
    }
    return line;
}

std::string explain(const std::string& request, const std::vector<Json::Value>& events)
{
    std::string text = "Request " + request;
    if (events.empty()) {
        return text + " is not known to any process that answered; events of requests "
                      "are kept in memory only, the latest ones.";
    }
    for (const auto& step : steps) {
        auto processes = processes_with(events, step.kind);
        if (!processes.empty()) {
            text += " " + std::string(step.text) + joined(processes) + ",";
        }
    }
    if (auto retries = count_of(events, event_kind::request_retried); retries != 0) {
        text += " was retried " + std::to_string(retries) + " time(s),";
    }
    return text + " " + ending_of(events) + ".";
}

} // namespace papayabridge
