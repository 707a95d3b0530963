/// \file session_entry.hpp
/// An entry that serves long-lived sessions through pooled member connections.

#pragma once

#include "session/callers/caller_session.hpp"
#include "session/gate/gate_server.hpp"
#include "session/gate/gated_access.hpp"
#include "session/limits/fleet_limiter.hpp"
#include "session/members/local_access.hpp"
#include "session_settings.hpp"

#include <papayabridge/daemon.hpp>
#include <papayabridge/http.hpp>
#include <papayabridge/keeper_client.hpp>

namespace papayabridge {

/// The codecs and the configuration format of the deployment.
struct session_protocols
{
    const caller_codec& caller_protocol;
    const member_codec& member_protocol;
    configuration_decoder decode_configuration;
};

/// Accepts sessions, follows the keepers and reports unusable primaries. Runs on the
/// control thread.
class session_entry
{
public:
    session_entry(daemon_runtime& runtime, session_settings settings,
                  session_protocols protocols);
    ~session_entry();

    result<void> start();
    /// Whether a load balancer should send new sessions here.
    bool is_ready() const noexcept { return ready_ && !stopping_; }
    /// Drains the open sessions and stops the runtime within the stop grace.
    void stop();
    /// Applies the settings that may change at run time (the keeper seeds).
    void reload(const session_settings& settings);

private:
    net::awaitable<void> accept();
    net::awaitable<void> follow_keepers();
    net::awaitable<void> register_self();
    net::awaitable<void> check_members();
    net::awaitable<void> check_callers();
    /// Since when the member has been unusable; empty if it is usable.
    std::optional<time_point> check_member(const service_name& service,
                                           const member_id& member);
    /// Tells the keepers about primaries that are unusable here or suspected.
    void report_primaries();
    net::awaitable<void> drain_and_stop();
    net::awaitable<void> announce_stop();
    bool serves_peers() const;
    net::awaitable<void> sleep_for(std::chrono::milliseconds time);
    void apply_update(watch_update update);
    bool has_waited_for_confirmation() const;
    void update_view();
    void update_keeper_endpoints();
    void update_gauges() const;
    void log_followed_keeper(const std::optional<tcp::endpoint>& keeper);
    void log_keeper_contact(const result<watch_update>& update);
    void log_member_changes(const pool_view& before, const pool_view& now) const;
    void close_sessions(bool include_transactions, bool include_running);
    bool is_registered() const
    {
        const auto* known = state_.entry(settings_.id);
        return known != nullptr && known->incarnation == incarnation_ &&
               known->condition == entry_condition::up;
    }

    daemon_runtime& runtime_;
    session_settings settings_;
    session_protocols protocols_;
    net::any_io_executor executor_;
    std::shared_ptr<rpc_clients> clients_;
    keeper_client keepers_;
    member_pool pool_;
    statement_report report_;
    local_access local_;
    commit_verifier verifier_;
    statement_gate gate_;
    gated_access members_;
    fleet_limiter limiter_;
    std::optional<gate_server> gate_server_;
    session_services services_;
    session_registry sessions_;
    tcp::acceptor acceptor_;
    std::unique_ptr<http_server> metrics_;
    control_state state_;
    pooled_configuration configuration_;
    std::uint64_t incarnation_;
    time_point started_;
    /// Whether the state has been confirmed as the newest since the start, or the wait
    /// for that has timed out.
    bool state_confirmed_ = false;
    /// When a current keeper last answered; empty before.
    std::optional<time_point> state_current_at_;
    bool ready_ = false;
    bool stopping_ = false;
    bool registering_ = false;
    /// Unusable primaries, as of the last check.
    std::vector<member_failure> failures_;
    time_point next_report_;
};

} // namespace papayabridge
