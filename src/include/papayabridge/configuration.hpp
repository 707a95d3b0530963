/// \file configuration.hpp
/// What operators configure: services, their ranks, read kinds and limits.
///
/// The keepers hold the configuration as JSON; entries read it into these types. A
/// configuration that is accepted is always readable: check() runs before it is proposed.

#pragma once

#include <chrono>
#include <json/value.h>
#include <map>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <papayabridge/rank.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// How one rank of a service is served.
struct rank_settings
{
    /// An answer within this time counts as served within target.
    std::chrono::milliseconds target{1000};
    /// Weight of one served request, when ranks are weighed against each other.
    unsigned worth = 1;
    /// Share of a member's slots that the rank keeps under any flood, in percent.
    unsigned share_percent = 0;
    /// Requests that may queue at one member.
    std::size_t queue_limit = 1000;
    /// Deadline of requests that name none.
    std::chrono::milliseconds deadline{5000};
};

/// Limits of one service.
struct service_limits
{
    /// Requests that one caller may have in progress at one entry.
    std::size_t caller_in_progress = 64;
    /// Longest body of a request.
    byte_count body_bytes{1024 * 1024};
    /// A transaction that is open for longer is rolled back.
    std::chrono::milliseconds transaction_lifetime{30000};
};

/// One service.
struct service_settings
{
    service_name name;
    by_rank<rank_settings> ranks;
    /// Accepted age of each kind of read; "fresh" is always there with age 0.
    std::map<std::string, std::chrono::milliseconds> read_kinds;
    /// Whether a write is acknowledged only once a majority of members holds it.
    bool majority_durable = true;
    service_limits limits;
};

/// Everything that operators configure.
struct configuration
{
    std::map<service_name, service_settings> services;
};

/// The settings of a service that nobody configured.
service_settings default_service_settings(service_name name);

/// Reads the JSON form. All problems at once, one a line, as `bad_request`.
result<configuration> configuration_from(const Json::Value& value);
/// The JSON form.
Json::Value to_value(const configuration& settings);

/// One bad cell of a sheet.
struct sheet_problem
{
    /// From 1, the heading being row 1.
    std::size_t row = 0;
    /// Its heading, "(all)" for the whole row.
    std::string column;
    /// The cell; bytes that are not printable ASCII as \xHH.
    std::string value;
    std::string accepted;

    /// "row R, column C: value; accepted: ...".
    std::string str() const;
};

/// A sheet read into a configuration, or the list of its bad cells. The configuration is
/// to be used only if there are no problems.
struct sheet_result
{
    configuration settings;
    std::vector<sheet_problem> problems;
};

/// Reads the planners' sheet (CSV, RFC 4180; see docs/SHEET.md).
sheet_result read_sheet(std::string_view text);
/// \p settings as a sheet that read_sheet() reads back.
std::string write_sheet(const configuration& settings);

} // namespace papayabridge
