/// \file database_shard.hpp
/// All that one entry holds for one database: the gates of its members that are here,
/// and, where the primary's gate is here, the watch over the members and the lease.
///
/// All use is on one traffic thread.

#pragma once

#include "core/coverage.hpp"
#include "core/freshness.hpp"
#include "member_gate.hpp"
#include "signal_list.hpp"

#include <functional>
#include <set>

namespace papayabridge {

/// What a shard asks of the entry around it; called on the shard's thread.
struct shard_hooks
{
    /// The primary was found lost at \p at; a promotion should begin.
    std::function<void(const database_key&, term at)> suspect_primary;
};

/// What a shard is made of.
struct database_shard_options
{
    database_key database;
    entry_id self;
    std::shared_ptr<link_table> links;
    event_log* events = nullptr;
    std::string strategy = "shares";
    shard_hooks hooks;
};

/// What a primary's gate tells the gates of replicas.
struct primary_sample
{
    papayabridge::term term;
    /// Every acknowledged write is at or before it.
    position acknowledged;
};

/// The gates of one database at one entry.
class database_shard : public std::enable_shared_from_this<database_shard>
{
public:
    database_shard(net::any_io_executor executor, database_shard_options options);

    /// Takes the published record; opens and closes gates as it says.
    void apply(const database_record& record, const service_settings& service);
    /// Runs one statement. Answers of the primary are settled: held by a majority, and
    /// given under a valid lease.
    net::awaitable<result<gate_answer>> execute(gate_request request);
    /// Stops work until the next term. False if work is still in progress after a short
    /// wait, and work goes on; with \p force waits until \p deadline.
    net::awaitable<bool> release(term next, bool force, time_point deadline);
    /// The sample for other entries; nothing without a valid lease.
    std::optional<primary_sample> sample() const;
    /// Takes a sample of the primary's gate, asked for at \p asked_at.
    void learn(time_point asked_at, const primary_sample& sample);
    /// Whether a replica's gate here has read with a stated age lately.
    bool wants_samples() const;
    /// Gives the member no new work.
    void set_leaving(const member_id& id);

    bool has_gates() const noexcept { return !gates_.empty(); }
    bool has_transaction(const std::string& id) const;
    bool leased() const;
    const database_record& record() const noexcept { return record_; }
    std::size_t waiting() const;
    unsigned running() const;
    /// Stops all work and background tasks.
    void close();

private:
    std::vector<std::shared_ptr<member_gate>> gates_that_stop() const;
    std::shared_ptr<member_gate> gate_for(const gate_request& request) const;
    bool is_primary(const member_id& id) const { return record_.primary == id; }
    bool holds_primary() const;
    void open_primary(const database_record& record);
    void close_primary();
    net::awaitable<result<void>> wait_for_lease(time_point deadline);
    net::awaitable<result<void>> settle(member_answer& got, bool write,
                                        time_point deadline);
    result<void> require_freshness(gate_request& request, bool primary);
    result<void> check_age(const gate_request& request, position reached,
                           bool primary) const;
    void watch_new_members();
    net::awaitable<void> watch_member(member_id id, std::shared_ptr<quorum_tracker> at);
    net::awaitable<bool> poll_member(http_pool& pool, const member_record& member,
                                     std::shared_ptr<quorum_tracker> at);
    bool follows_primary(const Json::Value& report) const;
    net::awaitable<void> order_to_follow(http_pool& pool, tcp::endpoint member,
                                         term under);
    void note_silence(const member_record& member, const quorum_tracker& at,
                      unsigned failures);

    net::any_io_executor executor_;
    database_shard_options options_;
    database_record record_;
    service_settings service_;
    std::map<member_id, std::shared_ptr<member_gate>> gates_;
    std::shared_ptr<quorum_tracker> coverage_;
    /// Members that a task watches under the term of coverage_.
    std::set<member_id> watched_;
    signal_list changed_;
    position acknowledged_;
    freshness_samples samples_;
    time_point last_aged_read_;
    std::uint64_t settling_ = 0;
    bool released_ = false;
};

} // namespace papayabridge
