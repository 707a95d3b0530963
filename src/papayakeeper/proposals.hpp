/// \file proposals.hpp
/// Proposals of this keeper that wait for acceptance.

#pragma once

#include "core/consensus/consensus.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <papayabridge/keeper_client.hpp>

namespace papayabridge {

/// The index and result of an applied command.
struct proposal_outcome
{
    control_index index;
    command_outcome outcome;
};

/// The progress of a proposal.
enum class proposal_state
{
    /// Not decided: it may still be accepted.
    pending,
    accepted,
    /// Another entry was accepted at its index; the proposal was not applied.
    replaced
};

struct proposal
{
    explicit proposal(const net::any_io_executor& executor) : done(executor) {}

    log_entry_id id;
    proposal_state state = proposal_state::pending;
    command_outcome outcome;
    net::steady_timer done;
};

/// The proposals that wait, by log index. Single thread.
class pending_proposals
{
public:
    explicit pending_proposals(net::any_io_executor executor)
        : executor_(std::move(executor))
    {
    }

    /// Waits until an entry is applied at the index of \p id, or until \p deadline.
    net::awaitable<std::shared_ptr<proposal>> wait(log_entry_id id, time_point deadline);
    /// Ends the waits for the index of \p id, where an entry was applied with
    /// \p outcome. Proposals of another term are marked as replaced.
    void complete(log_entry_id id, const command_outcome& outcome);
    /// Ends all waits; the proposals stay pending.
    void wake_all();
    bool empty() const noexcept { return waiting_.empty(); }

private:
    net::any_io_executor executor_;
    std::multimap<control_index, std::shared_ptr<proposal>> waiting_;
};

} // namespace papayabridge
