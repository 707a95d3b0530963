/// \file session_entry.hpp
/// An entry that serves sessions on long connections over pooled member connections.

#pragma once

#include "caller_session.hpp"
#include "session_settings.hpp"

#include <papayabridge/daemon.hpp>
#include <papayabridge/http.hpp>
#include <papayabridge/keeper_client.hpp>

namespace papayabridge {

/// The protocols that the deployment speaks.
struct session_protocols
{
    const caller_codec& caller_protocol;
    const member_codec& member_protocol;
    configuration_decoder decode_configuration;
};

/// All of it runs on the control thread.
class session_entry
{
public:
    session_entry(daemon_runtime& runtime, session_settings settings,
                  session_protocols protocols);
    ~session_entry();

    result<void> start();
    /// Whether new sessions should come here.
    bool is_ready() const noexcept { return ready_ && !stopping_; }
    /// Serves what is there and ends the runtime within the grace.
    void stop();
    /// Takes over what may change while it runs.
    void reload(const session_settings& settings);

private:
    net::awaitable<void> accept();
    net::awaitable<void> follow_keepers();
    net::awaitable<void> register_self();
    net::awaitable<void> tell_troubles();
    void look_at(const service_name& service, const member_id& member, bool is_primary);
    net::awaitable<void> wind_down();
    net::awaitable<void> pause(std::chrono::milliseconds time);
    void take_update(watch_update update);
    void publish();
    void use_keepers();
    void show_gauges() const;
    void note_contact(const result<watch_update>& update);
    void note_members(const pool_view& before, const pool_view& now) const;
    void close_sessions(bool in_transactions, bool running);
    bool is_registered() const;

    daemon_runtime& runtime_;
    session_settings settings_;
    session_protocols protocols_;
    net::any_io_executor executor_;
    std::shared_ptr<rpc_clients> clients_;
    keeper_client keepers_;
    member_pool pool_;
    statement_report report_;
    session_services services_;
    session_registry sessions_;
    tcp::acceptor acceptor_;
    std::unique_ptr<http_server> metrics_;
    control_state state_;
    pooled_configuration configuration_;
    std::uint64_t incarnation_;
    time_point started_;
    /// Whether the state was the newest once in this run.
    bool confirmed_ = false;
    bool ready_ = false;
    bool stopping_ = false;
    bool registering_ = false;
};

} // namespace papayabridge
