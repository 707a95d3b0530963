/// \file proposals.hpp
/// Proposals of this keeper that wait to be accepted.

#pragma once

#include "core/consensus.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <papayabridge/keeper_client.hpp>

namespace papayabridge {

/// A command that was accepted, and what applying it gave.
struct proposal_outcome
{
    control_index index;
    command_outcome outcome;
};

/// What became of a proposal.
enum class proposal_state
{
    /// Not known: it may yet be accepted.
    pending,
    accepted,
    /// Another entry took its place; it did not run.
    replaced
};

struct proposal
{
    explicit proposal(const net::any_io_executor& executor) : done(executor) {}

    log_entry_id place;
    proposal_state state = proposal_state::pending;
    command_outcome outcome;
    net::steady_timer done;
};

/// The proposals by their place. Single thread.
class pending_proposals
{
public:
    explicit pending_proposals(net::any_io_executor executor)
        : executor_(std::move(executor))
    {
    }

    /// Waits until the entry at \p place is applied, or until \p deadline.
    net::awaitable<std::shared_ptr<proposal>> wait(log_entry_id place,
                                                   time_point deadline);
    /// The entry at \p place was applied and gave \p outcome.
    void complete(log_entry_id place, const command_outcome& outcome);
    /// Wakes all that wait; their fate stays open.
    void wake_all();
    bool empty() const noexcept { return waiting_.empty(); }

private:
    net::any_io_executor executor_;
    std::multimap<control_index, std::shared_ptr<proposal>> waiting_;
};

} // namespace papayabridge
