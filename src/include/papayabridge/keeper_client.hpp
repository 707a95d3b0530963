/// \file keeper_client.hpp
/// Calls to the keepers, and the typed messages of these calls.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <papayabridge/control_state.hpp>
#include <papayabridge/rpc.hpp>
#include <vector>

namespace papayabridge {

/// A command with its place in the keepers' log.
struct indexed_command
{
    control_index index;
    command change;
};

/// Names one run of an entry process; sent with a watch, which is its heartbeat.
struct entry_identity
{
    entry_id id;
    std::uint64_t incarnation = 0;
};

/// Answer to keeper.watch. Either `snapshot` replaces the state that the watcher holds,
/// or `commands` continue it.
struct watch_update
{
    /// Index of the last command that the update covers; the `from` of the next watch.
    control_index applied;
    std::vector<indexed_command> commands;
    std::optional<control_state> snapshot;
    /// Whether the keeper hears a leader.
    bool leader_known = false;
    /// Whether it holds all that was accepted before the call; only if that was asked.
    bool is_up_to_date = false;
};

/// One keeper as another one sees it.
struct keeper_peer
{
    keeper_id id;
    /// Time since it was heard; nothing if never.
    std::optional<std::chrono::milliseconds> since_contact;
};

/// Answer to keeper.status.
struct keeper_status
{
    keeper_id id;
    /// "leader", "follower", "candidate" or "learner".
    std::string role;
    std::uint64_t term = 0;
    /// Empty if none is known.
    keeper_id leader;
    control_index applied;
    control_index committed;
    std::vector<keeper_id> voters;
    std::vector<keeper_id> learners;
    std::vector<keeper_peer> peers;
    /// "ok", or what failed.
    std::string storage;
    /// What an operator must look at, one sentence each.
    std::vector<std::string> alarms;
};

Json::Value to_value(const watch_update& update);
result<watch_update> watch_update_from(const Json::Value& value);
Json::Value to_value(const keeper_status& status);
result<keeper_status> keeper_status_from(const Json::Value& value);

/// Calls the keepers, and goes to the next one where one fails. All use must be on the
/// executor given, which must be that of a single thread.
class keeper_client
{
public:
    /// \p keepers, nearest first. While another one is used, the nearest is tried again
    /// each \p nearest_rest.
    keeper_client(net::any_io_executor executor, std::shared_ptr<rpc_clients> clients,
                  std::vector<tcp::endpoint> keepers,
                  std::chrono::milliseconds nearest_rest = std::chrono::seconds(5));

    /// Has \p change accepted or refused. Resends it, as all commands are idempotent or
    /// compare a base. Errors: `no_quorum`, `unreachable`, `storage_failed`;
    /// `outcome_unknown` if it may yet be accepted.
    net::awaitable<result<command_outcome>> propose(command change, time_point deadline);

    /// What follows \p from, waiting up to \p wait for more. With an entry's id it is
    /// also the heartbeat of that entry. With \p confirm the keeper first makes sure that
    /// it holds the newest state, if it can. Errors are those of the last keeper asked.
    net::awaitable<result<watch_update>> watch(control_index from,
                                               std::chrono::milliseconds wait,
                                               const entry_identity& entry,
                                               bool confirm = false);

    /// The status of the keeper at \p keeper.
    net::awaitable<result<keeper_status>> status(tcp::endpoint keeper);

    /// Tells all keepers, without waiting, that a member cannot be used.
    void report_member_trouble(const member_failure& trouble);

    /// Replaces the keepers, nearest first.
    void set_keepers(std::vector<tcp::endpoint> keepers);
    const std::vector<tcp::endpoint>& keepers() const noexcept { return keepers_; }

private:
    /// Which keeper is asked.
    struct keeper_selection
    {
        std::size_t current = 0;
        time_point next_probe_at;
        bool is_probing = false;
    };

    static net::awaitable<void> probe_nearest(std::shared_ptr<rpc_clients> clients,
                                              tcp::endpoint nearest,
                                              std::shared_ptr<keeper_selection> preferred,
                                              std::chrono::milliseconds rest);
    void advance_to_next_keeper();
    const tcp::endpoint& select_keeper();

    net::any_io_executor executor_;
    std::shared_ptr<rpc_clients> clients_;
    std::vector<tcp::endpoint> keepers_;
    std::chrono::milliseconds nearest_probe_interval_;
    /// Shared with trials that are under way; another one for other keepers.
    std::shared_ptr<keeper_selection> selection_ = std::make_shared<keeper_selection>();
};

} // namespace papayabridge
