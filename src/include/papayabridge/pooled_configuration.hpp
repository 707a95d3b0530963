/// \file pooled_configuration.hpp
/// What entries obey of a published configuration, and the interfaces at which the
/// deployment's own protocols are attached to keepers and entries.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <papayabridge/pool_state.hpp>
#include <string_view>

namespace papayabridge {

/// How fresh the reads of a database are.
enum class read_consistency
{
    /// Every read sees all commits that were acknowledged before it.
    at_primary,
    /// Reads may be as old as `most_age`.
    bounded_age,
    /// As `bounded_age`, but they see the writes of their own session.
    own_writes,
};

/// How one database is served.
struct pooled_route
{
    service_name service;
    read_consistency consistency = read_consistency::at_primary;
    std::chrono::milliseconds max_age{0};
    /// Limit of one statement.
    std::chrono::milliseconds statement_timeout{0};
    /// Latency that an operation should stay under.
    std::chrono::milliseconds target{0};
    /// 0 is the most urgent.
    unsigned rank = 0;
};

/// Limits of one service.
struct pooled_service_limits
{
    /// Connections that each member accepts, from all callers.
    unsigned max_connections = 1;
    /// Replicas that hold a commit before it is acknowledged.
    unsigned synchronous_replicas = 0;
};

/// A whole configuration.
struct pooled_configuration
{
    config_version version;
    std::map<database_name, pooled_route> routes;
    std::map<service_name, pooled_service_limits> services;
    /// A transaction that is idle for longer may be ended.
    std::chrono::milliseconds transaction_idle_limit{0};
};

/// Reads a configuration; `bad_request` with all problems if it is not valid.
using configuration_decoder =
    std::function<result<pooled_configuration>(std::string_view)>;

/// What a keeper does for operators and members.
class control_service
{
public:
    virtual ~control_service() = default;

    /// Succeeds once \p configuration, or a higher version, cannot be lost any more.
    virtual boost::asio::awaitable<result<void>>
    publish(published_configuration configuration) = 0;
    /// The newest configuration; `no_quorum` if it may not be the newest.
    virtual boost::asio::awaitable<result<published_configuration>> newest() = 0;
    /// Succeeds once the fleet will act by what \p member says.
    virtual boost::asio::awaitable<result<void>> announce(pooled_member member) = 0;
    /// Succeeds once the fleet will not use \p id any more.
    virtual boost::asio::awaitable<result<void>> withdraw(member_id id) = 0;
};

/// How the deployment answered an order to promote a member.
enum class promotion_answer
{
    accepted,
    /// The fencing token is too low, or the member is not running.
    refused,
    /// Too many calls.
    throttled,
    /// The order may be carried out, now or later.
    unclear,
};

/// Orders the deployment to make a member the primary.
class promotion_port
{
public:
    virtual ~promotion_port() = default;

    virtual boost::asio::awaitable<promotion_answer>
    promote(service_name service, member_id target, std::string holder,
            control_index fencing_token) = 0;
};

} // namespace papayabridge
