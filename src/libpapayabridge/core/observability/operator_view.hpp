/// \file operator_view.hpp
/// What an operator sees of the fleet: the answers of its processes put together, the
/// alarms that follow from them, the merged time line and the story of one request.

#pragma once

#include <chrono>
#include <json/value.h>
#include <optional>
#include <papayabridge/control_state.hpp>
#include <papayabridge/keeper_client.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// Answer to entry.status.
struct entry_status
{
    /// Version of the configuration in force there.
    config_version version;
    control_index applied;
    /// As JSON; an entry with an older program may give more or less.
    Json::Value gates;
    std::string condition;
    std::uint64_t in_progress = 0;
    /// Time since the entry last heard a keeper.
    std::chrono::milliseconds view_age{0};
};
result<entry_status> entry_status_from(const Json::Value& value);

/// One keeper of the operator's settings.
struct keeper_view
{
    /// "address:port".
    std::string rpc;
    /// Nothing if it did not answer.
    std::optional<keeper_status> status;
    /// Why not.
    std::string problem;
};

/// One entry of the control state.
struct entry_view
{
    entry_record record;
    /// Nothing if it did not answer.
    std::optional<entry_status> status;
    /// Why not.
    std::string problem;
};

/// All that was gathered at one time.
struct operator_view
{
    std::vector<keeper_view> keepers;
    std::vector<entry_view> entries;
    /// Nothing if no keeper gave it.
    std::optional<control_state> state;
};

/// Whether \p entry has version \p wanted, or a later one, in force.
bool has_in_force(const entry_view& entry, config_version wanted);
/// What an operator must look at, one sentence each.
std::vector<std::string> alarms_of(const operator_view& fleet);

/// Orders the events of several processes by stamp, each once. Elements that are no
/// events are left out.
std::vector<Json::Value> merge_events(const std::vector<Json::Value>& lists);
/// "2026-12-04T05:00:00.123" of a stamp.
std::string time_of_stamp(std::uint64_t stamp);
/// One line of the time line.
std::string event_line(const Json::Value& event);
/// What happened to \p request, in one sentence, from its merged events.
std::string explain(const std::string& request, const std::vector<Json::Value>& events);

} // namespace papayabridge
