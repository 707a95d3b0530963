/// \file database_shard.hpp
/// State of one database at one entry: the gates of the members that this entry serves.
/// If it holds the primary's gate, also the polling of all members and the lease.
///
/// A shard is used on one traffic thread only.

#pragma once

#include "change_notifier.hpp"
#include "core/promotion/coverage.hpp"
#include "core/routing/freshness.hpp"
#include "member_gate.hpp"

#include <functional>
#include <set>

namespace papayabridge {

/// Callbacks from a shard to its entry. Called on the shard's thread.
struct shard_hooks
{
    /// The primary of term \p at does not answer; a promotion should begin.
    std::function<void(const database_key&, term at)> suspect_primary;
};

/// Options of a shard.
struct database_shard_options
{
    database_key database;
    entry_id self;
    std::shared_ptr<link_table> links;
    event_log* events = nullptr;
    std::string strategy = "shares";
    shard_hooks hooks;
};

/// Position of the primary, sent by its gate to the gates of replicas.
struct primary_sample
{
    papayabridge::term term;
    /// No acknowledged write has a higher position.
    position acknowledged;
};

/// The gates of one database at one entry, and the lease if the primary is among them.
class database_shard : public std::enable_shared_from_this<database_shard>
{
public:
    database_shard(net::any_io_executor executor, database_shard_options options);

    /// Opens and closes gates so that they match the published record.
    void apply(const database_record& record, const service_settings& service);
    /// Runs one statement. An answer of the primary is returned only under a valid lease
    /// and, if the service requires it, once a majority holds what it shows.
    net::awaitable<result<gate_answer>> execute(gate_request request);
    /// Stops the primary's gate, and those that move, until term \p next. Returns false
    /// and lets them continue if statements are still in progress after a short wait.
    /// With \p force it waits until \p deadline and then stops them anyway.
    net::awaitable<bool> release(term next, bool force, time_point deadline);
    /// The position of the primary that is served here. Empty without a valid lease.
    std::optional<primary_sample> sample_primary() const;
    /// Stores a sample that was requested from the primary's gate at \p asked_at.
    void add_sample(time_point asked_at, const primary_sample& sample);
    /// Whether a replica here recently served a read with an accepted age.
    bool needs_samples() const;
    /// Stops sending new statements to the member.
    void set_leaving(const member_id& id);

    bool has_gates() const noexcept { return !gates_.empty(); }
    bool has_transaction(const std::string& id) const;
    bool has_lease() const;
    const database_record& record() const noexcept { return record_; }
    std::size_t waiting() const;
    unsigned running() const;
    /// Closes all gates and ends the background tasks.
    void close();

private:
    std::vector<std::shared_ptr<member_gate>> gates_to_stop() const;
    std::shared_ptr<member_gate> gate_for(const gate_request& request) const;
    bool is_primary(const member_id& id) const { return record_.primary == id; }
    bool holds_primary_gate() const;
    void start_quorum_tracking(const database_record& record);
    void stop_quorum_tracking();
    net::awaitable<result<void>> wait_for_lease(time_point deadline);
    net::awaitable<result<void>> wait_for_majority(member_answer& received, bool write,
                                                   time_point deadline);
    result<void> require_freshness(gate_request& request, bool primary);
    result<void> check_answer_age(const gate_request& request, position reached,
                                  bool primary) const;
    void watch_new_members();
    net::awaitable<void> watch_member(member_id id,
                                      std::shared_ptr<quorum_tracker> expected);
    net::awaitable<bool> poll_member(http_pool& pool, const member_record& member,
                                     std::shared_ptr<quorum_tracker> expected);
    bool follows_primary(const Json::Value& report) const;
    net::awaitable<void> send_follow_order(http_pool& pool, tcp::endpoint member,
                                           term under);
    void handle_failed_poll(const member_record& member, const quorum_tracker& quorum,
                            unsigned failures);

    net::any_io_executor executor_;
    database_shard_options options_;
    database_record record_;
    service_settings service_;
    std::map<member_id, std::shared_ptr<member_gate>> gates_;
    std::shared_ptr<quorum_tracker> quorum_;
    /// Members that a task polls for quorum_.
    std::set<member_id> watched_;
    change_notifier changed_;
    position acknowledged_;
    freshness_samples samples_;
    time_point last_age_bounded_read_;
    std::uint64_t awaiting_majority_ = 0;
    bool released_ = false;
};

} // namespace papayabridge
