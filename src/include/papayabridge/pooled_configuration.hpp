/// \file pooled_configuration.hpp
/// The part of a published configuration that entries act on, and the interfaces that
/// connect keepers and entries to the protocols of the deployment.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <papayabridge/access_key.hpp>
#include <papayabridge/pool_state.hpp>
#include <string_view>

namespace papayabridge {

/// Consistency of the reads of a database.
enum class read_consistency
{
    /// Reads go to the primary and see all commits acknowledged before them.
    at_primary,
    /// Reads may return data up to `max_age` old.
    bounded_age,
    /// As `bounded_age`, but a session also sees its own writes.
    own_writes,
};

/// Settings of one database.
struct pooled_route
{
    service_name service;
    read_consistency consistency = read_consistency::at_primary;
    std::chrono::milliseconds max_age{0};
    /// Time limit of a statement.
    std::chrono::milliseconds statement_timeout{0};
    /// Target latency of an operation.
    std::chrono::milliseconds target{0};
    /// 0 is the most urgent.
    unsigned rank = 0;
    /// Whether callers need the access key of an account. Without effect if the
    /// configuration has no accounts.
    bool requires_account = true;
};

/// Limits of one client account.
struct client_account
{
    unsigned rank = 0;
    /// Operations a second that it may run, over all entries; 0 for no limit.
    double operations_per_second = 0;
    /// Operations that it may run at once after a rest.
    double burst = 0;
};

/// Limits of one service.
struct pooled_service_limits
{
    /// Maximum number of connections to each member, for all callers together.
    unsigned max_connections = 1;
    /// Number of replicas that must store a commit before it is acknowledged.
    unsigned synchronous_replicas = 0;
};

/// A published configuration.
struct pooled_configuration
{
    config_version version;
    std::map<database_name, pooled_route> routes;
    std::map<service_name, pooled_service_limits> services;
    /// A transaction that is idle longer than this may be ended.
    std::chrono::milliseconds transaction_idle_limit{0};
    /// Whether callers are told apart by account.
    bool has_accounts = false;
    std::map<account_name, client_account> accounts;
    /// The account of each access key.
    std::map<access_key_digest, account_name> keys;
};

/// Parses a configuration; `bad_request` with all problems if it is invalid.
using configuration_decoder =
    std::function<result<pooled_configuration>(std::string_view)>;

/// Operations of a keeper for operators and members.
class control_service
{
public:
    virtual ~control_service() = default;

    /// Publishes \p configuration. Succeeds once it, or a higher version, is durable.
    virtual boost::asio::awaitable<result<void>>
    publish(published_configuration configuration) = 0;
    /// Returns the newest configuration; `no_quorum` if a newer one may exist.
    virtual boost::asio::awaitable<result<published_configuration>> newest() = 0;
    /// Records the state of \p member. Succeeds once the fleet is certain to act on it.
    virtual boost::asio::awaitable<result<void>> announce(pooled_member member) = 0;
    /// Removes member \p id. Succeeds once the fleet no longer uses it.
    virtual boost::asio::awaitable<result<void>> withdraw(member_id id) = 0;
};

/// The deployment's answer to a request to promote a member.
enum class promotion_answer
{
    accepted,
    /// The fencing token is too low, or the member is not running.
    refused,
    /// Too many calls.
    throttled,
    /// Unknown outcome: the member may be promoted, now or later.
    unclear,
};

/// Interface for requesting a promotion from the deployment.
class promotion_port
{
public:
    virtual ~promotion_port() = default;

    virtual boost::asio::awaitable<promotion_answer>
    promote(service_name service, member_id target, std::string holder,
            control_index fencing_token) = 0;
};

} // namespace papayabridge
