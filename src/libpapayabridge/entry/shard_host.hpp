/// \file shard_host.hpp
/// Assigns each database's shard to one traffic thread and makes it callable from any
/// thread.

#pragma once

#include "database_shard.hpp"
#include "entry_settings.hpp"
#include "fleet_view.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <vector>

namespace papayabridge {

/// Counts over all shards, for metrics and status.
struct shard_totals
{
    std::size_t databases = 0;
    std::size_t leases = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
};

/// All shards of one entry.
class shard_host
{
public:
    shard_host(std::vector<net::io_context*> traffic, const entry_settings& settings,
               event_log& events, shard_hooks hooks);

    /// Applies the records of \p view to all shards. Call on the control thread.
    void apply(std::shared_ptr<const fleet_view> view);
    /// Runs one statement at the shard of its database.
    net::awaitable<result<gate_answer>> execute(gate_request request);
    /// See database_shard::release().
    net::awaitable<bool> release(database_key database, term next, bool force,
                                 time_point deadline);
    /// See database_shard::sample_primary().
    net::awaitable<std::optional<primary_sample>> sample_primary(database_key database);
    /// See database_shard::add_sample().
    void add_sample(const database_key& database, time_point asked_at,
                    const primary_sample& sample);
    /// Databases whose shard needs samples of the primary's position.
    net::awaitable<std::vector<database_key>> databases_needing_samples();
    /// See database_shard::set_leaving().
    void set_leaving(const database_key& database, const member_id& member);
    net::awaitable<shard_totals> totals();
    /// Closes all shards. Call on the control thread, before the contexts stop.
    net::awaitable<void> close();

private:
    struct thread_shards
    {
        net::io_context* context = nullptr;
        std::map<database_key, std::shared_ptr<database_shard>> shards;
    };

    thread_shards& thread_for(const database_key& database);
    void apply_record(thread_shards& thread, const database_record& record,
                      const service_settings& service);

    entry_id self_;
    std::string strategy_;
    std::shared_ptr<link_table> links_;
    event_log* events_;
    shard_hooks hooks_;
    std::vector<std::unique_ptr<thread_shards>> threads_;
};

} // namespace papayabridge
