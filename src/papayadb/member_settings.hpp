/// \file member_settings.hpp
/// Settings of the stand-in, and the faults it can be told to show.

#pragma once

#include <chrono>
#include <json/value.h>
#include <papayabridge/links.hpp>
#include <papayabridge/settings.hpp>
#include <string>
#include <vector>

namespace papayadb {

using endpoint = boost::asio::ip::tcp::endpoint;

/// What a member is and how it behaves when well.
struct member_settings
{
    std::string service;
    std::string database;
    std::string member;
    endpoint listen;
    std::string domain;
    std::string region;
    std::uint64_t group_size = 3;
    /// Statements that run at once.
    std::uint64_t slots = 5;
    /// Data connections open at once.
    std::uint64_t connections = 35;
    /// Cost of a new data connection.
    std::chrono::milliseconds connect_cost{12};
    /// The other members.
    std::vector<endpoint> peers;
    /// HTTP addresses of entries.
    std::vector<endpoint> entries;
    /// Folder of the synced file; "" keeps nothing over a restart.
    std::string data;
    std::shared_ptr<papayabridge::link_table> links;
};

/// Settable at run time through `POST /admin/fault`.
struct member_faults
{
    /// Cost of one statement request.
    std::uint64_t service_us = 200;
    /// A replica holds an entry so long after the primary wrote it.
    std::uint64_t lag_ms = 2;
    /// Not 0: a replica pulls nothing.
    std::uint64_t freeze_replication = 0;
    /// Data answers are sent so much later.
    std::uint64_t late_ms = 0;
    /// So many data answers break off in the middle.
    std::uint64_t half_answers = 0;
    /// So many data answers carry the id of another request.
    std::uint64_t foreign_ids = 0;
    /// So many data answers are sent twice.
    std::uint64_t double_answers = 0;
    /// So many data answers are lost: the connection closes after the work.
    std::uint64_t lost_answers = 0;

    /// Takes the members of \p change; false if one is unknown or no number.
    bool change(const Json::Value& change);
};

/// Reads settings; problems stay in \p document.
member_settings read_settings(papayabridge::settings_document& document,
                              member_faults& behaviour);

} // namespace papayadb
