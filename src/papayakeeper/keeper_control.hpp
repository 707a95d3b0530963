/// \file keeper_control.hpp
/// Control requests of operators and members, carried out as commands on the replicated
/// state.

#pragma once

#include "replicator.hpp"

#include <papayabridge/pooled_configuration.hpp>

namespace papayabridge {

/// Proposes a command for each control request. Runs on the control thread.
class keeper_control : public control_service
{
public:
    explicit keeper_control(replicator& replicated) : replicated_(replicated) {}

    net::awaitable<result<void>> publish(published_configuration configuration) override;
    net::awaitable<result<published_configuration>> newest() override;
    net::awaitable<result<void>> announce(pooled_member member) override;
    net::awaitable<result<void>> withdraw(member_id id) override;

private:
    net::awaitable<result<void>> propose(command change);

    replicator& replicated_;
};

} // namespace papayabridge
