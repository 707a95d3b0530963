/// \file entry_process.hpp
/// The control side of an entry: registers with the keepers, follows their log, handles
/// announcements of members, runs transitions, and stops gracefully.

#pragma once

#include "caller_service.hpp"
#include "store/line_file.hpp"
#include "store/view_writer.hpp"
#include "transition_driver.hpp"

#include <papayabridge/daemon.hpp>

namespace papayabridge {

/// One running entry. Construct it, call start(), then run the runtime.
class entry_process
{
public:
    entry_process(daemon_runtime& runtime, entry_settings settings);
    ~entry_process();

    /// Listens on the configured addresses and begins to follow the keepers.
    result<void> start();
    /// Begins a graceful stop: reports not ready to the load balancer, lets the gates
    /// move to other entries and open connections end, then stops the runtime.
    void drain();

private:
    net::awaitable<void> follow_keepers();
    net::awaitable<void> register_self();
    net::awaitable<void> collect_samples();
    net::awaitable<void> fetch_sample(database_key database);
    net::awaitable<void> drain_and_stop();
    net::awaitable<bool> propose_condition(entry_condition condition);
    net::awaitable<result<void>> handle_announcement(announce_member change);
    net::awaitable<void> notify_gate(announce_member change);
    net::awaitable<void> propose_transition(database_key database, term at);

    void register_methods();
    net::awaitable<result<rpc_message>> serve_release(rpc_message message);
    net::awaitable<result<rpc_message>> serve_sample(rpc_message message);
    net::awaitable<result<rpc_message>> serve_status(rpc_message message);

    void apply_update(watch_update update);
    void publish();
    bool gates_can_move() const;

    daemon_runtime& runtime_;
    entry_settings settings_;
    std::uint64_t incarnation_;
    event_log events_;
    posix_file_calls files_;
    std::unique_ptr<line_file> event_file_;
    std::unique_ptr<view_writer> view_writer_;
    view_holder view_;
    control_state state_;
    rpc_clients clients_;
    keeper_client keepers_;
    std::unique_ptr<shard_host> shards_;
    std::unique_ptr<transition_driver> driver_;
    std::unique_ptr<caller_service> service_;
    std::unique_ptr<http_server> http_;
    std::unique_ptr<rpc_server> rpc_;
    std::atomic<bool> ready_{false};
    bool draining_ = false;
};

} // namespace papayabridge
