/// \file keeper_client.hpp
/// Client for calls to the keepers, and the messages of these calls.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <papayabridge/control_state.hpp>
#include <papayabridge/rpc.hpp>
#include <vector>

namespace papayabridge {

/// A command and its index in the keepers' log.
struct indexed_command
{
    control_index index;
    command change;
};

/// Identifies one run of an entry process. Sent with each watch, which is its heartbeat.
struct entry_identity
{
    entry_id id;
    std::uint64_t incarnation = 0;
};

/// Answer to keeper.watch. Either `snapshot` replaces the watcher's state, or `commands`
/// are to be applied to it.
struct watch_update
{
    /// Index of the last command included; the `from` of the next watch.
    control_index applied;
    std::vector<indexed_command> commands;
    std::optional<control_state> snapshot;
    /// Whether the keeper hears a leader and has applied what it told. Otherwise another
    /// keeper is to be asked.
    bool is_current = false;
    /// The state held, when the answer was made, all that was accepted this long before.
    std::chrono::milliseconds state_age{0};
    /// Whether the state includes everything accepted before the call. Set only if the
    /// watch asked for confirmation.
    bool is_up_to_date = false;
    /// How long before the answer a majority of the keepers confirmed that the state held
    /// everything accepted; counts the time for which the keeper was suspended. Set only
    /// if the watch asked for it.
    std::optional<std::chrono::milliseconds> confirmed_age;
};

/// What a watch asks for beside the changes.
struct watch_options
{
    /// The keeper first tries to confirm that its state is up to date.
    bool confirm = false;
    /// The answer holds no changes unless the state is confirmed. Otherwise every retry
    /// of a fleet that starts would carry the whole state.
    bool only_confirmed = false;
    /// The answer tells `confirmed_age`.
    bool wants_confirmed_age = false;
};

/// A keeper as seen by another keeper.
struct keeper_peer
{
    keeper_id id;
    /// Time since its last message; nothing if there was none.
    std::optional<std::chrono::milliseconds> since_contact;
};

/// Answer to keeper.status.
struct keeper_status
{
    keeper_id id;
    /// "leader", "follower", "candidate" or "learner".
    std::string role;
    std::uint64_t term = 0;
    /// Empty if unknown.
    keeper_id leader;
    /// Whether the keeper has applied what its leader told.
    bool is_current = false;
    control_index applied;
    control_index committed;
    std::vector<keeper_id> voters;
    std::vector<keeper_id> learners;
    std::vector<keeper_peer> peers;
    /// "ok", or a description of the failure.
    std::string storage;
    /// Conditions that need an operator's attention, one sentence each.
    std::vector<std::string> alarms;
};

Json::Value to_value(const watch_update& update);
/// The same with the part that holds the snapshot or the commands already encoded, so
/// that watchers with the same needs share it.
Json::Value to_value(const watch_update& update, Json::Value changes);
Json::Value changes_of(const watch_update& update);
/// Deflates \p changes unless they are short.
Json::Value pack_changes(Json::Value changes);
result<watch_update> watch_update_from(const Json::Value& value);
Json::Value to_value(const keeper_status& status);
result<keeper_status> keeper_status_from(const Json::Value& value);

/// Calls the keepers, with failover to the next one. Must be used only on its executor,
/// which must be single-threaded.
class keeper_client
{
public:
    /// \p keepers must be in order of distance. While another keeper is in use, the
    /// nearest is probed every \p nearest_probe_interval.
    keeper_client(
        net::any_io_executor executor, std::shared_ptr<rpc_clients> clients,
        std::vector<tcp::endpoint> keepers,
        std::chrono::milliseconds nearest_probe_interval = std::chrono::seconds(5));

    /// Proposes \p change and returns whether it was accepted. Resends it until \p
    /// deadline, which is safe because every command is idempotent or checks its base
    /// version. Errors: `no_quorum`, `unreachable`, `storage_failed`; `outcome_unknown`
    /// if it may still be accepted.
    net::awaitable<result<command_outcome>> propose(command change, time_point deadline);

    /// Returns the changes after index \p from, waiting up to \p wait if there are none.
    /// If \p entry has an id, the call is also that entry's heartbeat. Errors are those
    /// of the last keeper asked.
    net::awaitable<result<watch_update>> watch(control_index from,
                                               std::chrono::milliseconds wait,
                                               entry_identity entry,
                                               watch_options options = {});

    /// The status of the keeper at \p keeper.
    net::awaitable<result<keeper_status>> status(tcp::endpoint keeper);

    /// Tells the keepers about primaries, without waiting for answers. The report may be
    /// lost.
    void report_primaries(const primary_report& report);

    /// Replaces the keepers; \p keepers must be in order of distance. The one in use
    /// stays in use if it is among them, until the nearest has answered a probe.
    void set_keepers(std::vector<tcp::endpoint> keepers);
    const std::vector<tcp::endpoint>& keepers() const noexcept { return keepers_; }
    /// The keeper that the next watch() asks. Empty if none is known.
    std::optional<tcp::endpoint> current_keeper() const;

private:
    /// The keeper in use, and the state of probing the nearest.
    struct keeper_selection
    {
        std::size_t current = 0;
        time_point next_probe_at;
        bool is_probing = false;
    };

    static net::awaitable<void> probe_nearest(std::shared_ptr<rpc_clients> clients,
                                              tcp::endpoint nearest,
                                              std::shared_ptr<keeper_selection> preferred,
                                              std::chrono::milliseconds probe_interval);
    /// Selects the keeper after \p asked, unless another was selected meanwhile.
    void advance_from(const tcp::endpoint& asked);
    const tcp::endpoint& select_keeper();

    net::any_io_executor executor_;
    std::shared_ptr<rpc_clients> clients_;
    std::vector<tcp::endpoint> keepers_;
    std::chrono::milliseconds nearest_probe_interval_;
    /// Number of watches that failed since the last answer.
    unsigned failed_watches_ = 0;
    /// Shared with a probe in progress; replaced by set_keepers().
    std::shared_ptr<keeper_selection> selection_ = std::make_shared<keeper_selection>();
};

} // namespace papayabridge
