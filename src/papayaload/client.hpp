/// \file client.hpp
/// One statement, sent to an entry as a caller would.

#pragma once

#include "experiment.hpp"

#include <boost/asio/awaitable.hpp>
#include <papayabridge/error.hpp>
#include <papayabridge/http.hpp>

namespace papayabridge {

/// What is sent.
struct load_request
{
    service_name service;
    database_name database;
    std::vector<std::string> statements;
    bool write = false;
    papayabridge::rank rank = rank::normal;
    caller_id caller;
    /// Idempotency key; writes only.
    std::string key;
    /// Reads only.
    read_mix read;
    std::chrono::milliseconds deadline{5000};
    std::string session_token;
};

/// What became of it.
struct load_answer
{
    bool served = false;
    /// If it was not served: the kind of error, and whether it ran.
    std::string error;
    ran_state ran = ran_state::unknown;
    std::string session_token;
    std::string body;
    /// Whether a replica answered.
    bool by_replica = false;
    /// Whether the answer carries the id of another request, or is cut short.
    bool mixed = false;
};

/// Sends requests over pooled connections. All use must be on one thread.
class load_client
{
public:
    explicit load_client(std::shared_ptr<link_table> links)
        : pool_(std::move(links), most_idle)
    {
    }

    net::awaitable<load_answer> call(tcp::endpoint entry, load_request request);

private:
    static constexpr std::size_t most_idle = 2000;

    http_pool pool_;
};

} // namespace papayabridge
