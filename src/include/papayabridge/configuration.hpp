/// \file configuration.hpp
/// The configuration made by operators: services, their ranks, read kinds and limits.
///
/// The keepers store the configuration as JSON; entries parse it into these types. It is
/// validated before it is proposed, so that an accepted configuration can always be read.

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

/// Settings of one rank of a service.
struct rank_settings
{
    /// An answer within this time counts as served within target.
    std::chrono::milliseconds target{1000};
    /// Relative value of one served request when ranks are compared.
    unsigned worth = 1;
    /// Guaranteed share of a member's slots under any load of the other ranks, in
    /// percent.
    unsigned share_percent = 0;
    /// Maximum number of requests queued at one member.
    std::size_t queue_limit = 1000;
    /// Default deadline of a request.
    std::chrono::milliseconds deadline{5000};
};

/// Limits of one service.
struct service_limits
{
    /// Maximum number of requests that one caller may have in progress at one entry.
    std::size_t caller_in_progress = 64;
    /// Maximum size of a request body.
    byte_count body_bytes{1024 * 1024};
    /// A transaction that is open longer than this is rolled back.
    std::chrono::milliseconds transaction_lifetime{30000};
};

/// Settings of one service.
struct service_settings
{
    service_name name;
    by_rank<rank_settings> ranks;
    /// Maximum age of the data for each read kind, by name; always has "fresh" with age
    /// 0.
    std::map<std::string, std::chrono::milliseconds> read_kinds;
    /// Whether a write is acknowledged only after a majority of members has stored it.
    bool majority_durable = true;
    service_limits limits;
};

/// The configuration of all services.
struct configuration
{
    std::map<service_name, service_settings> services;
};

/// The settings of a service that is not configured.
service_settings default_service_settings(service_name name);

/// Parses the JSON form. Reports all problems in one `bad_request`, one a line.
result<configuration> configuration_from(const Json::Value& value);
/// Converts to the JSON form.
Json::Value to_value(const configuration& settings);

/// An invalid cell of a sheet.
struct sheet_problem
{
    /// Counted from 1; row 1 is the heading.
    std::size_t row = 0;
    /// Heading of the column; "(all)" for the whole row.
    std::string column;
    /// Content of the cell; bytes other than printable ASCII are written as \xHH.
    std::string value;
    std::string accepted;

    /// "row R, column C: value; accepted: ...".
    std::string str() const;
};

/// A configuration read from a sheet, or the list of invalid cells. The configuration is
/// valid only if there are no problems.
struct sheet_result
{
    configuration settings;
    std::vector<sheet_problem> problems;
};

/// Reads the capacity planners' sheet (CSV, RFC 4180; see docs/SHEET.md).
sheet_result read_sheet(std::string_view text);
/// Writes \p settings as a sheet that read_sheet() can read.
std::string write_sheet(const configuration& settings);

} // namespace papayabridge
