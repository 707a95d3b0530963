/// \file statement_gate.hpp
/// The gate of members: queues the statements of all entries by rank and runs as many at
/// a time as the member has slots.
///
/// Load pattern: a flood of one rank at some entries while others send urgent statements.
/// The member's own queue knows no ranks, so it is kept short and the statements wait
/// here.

#pragma once

#include "session/members/member_access.hpp"
#include "session/pool_view.hpp"

#include <boost/asio/steady_timer.hpp>
#include <papayabridge/admission.hpp>

namespace papayabridge {

class member_pool;

/// Runs statements at members through their queues. Must be used on one thread. \p local
/// and \p pool must outlive the object.
class statement_gate : public member_access
{
public:
    statement_gate(net::any_io_executor executor, member_access& local, member_pool& pool)
        : executor_(std::move(executor)), local_(local), pool_(pool),
          view_(std::make_shared<pool_view>())
    {
    }

    /// Adopts the members and limits of \p view.
    void update(std::shared_ptr<const pool_view> view);
    /// Runs \p request at the first of its members. A refusal of stage `waiting` has the
    /// kind `not_found` if this process does not know the member, `unreachable` if the
    /// member cannot be used and `overloaded` if it has no room.
    net::awaitable<member_outcome> run(member_request request) override;

    /// Statements that run, outside of open transactions, and that wait.
    std::size_t running() const;
    std::size_t waiting() const;

private:
    struct waiter;
    struct member_queue;
    class held_slot;

    std::optional<error> find_obstacle(const member_request& request) const;
    member_queue& queue_of(const member_id& member);
    net::awaitable<result<void>> wait_for_slot(std::shared_ptr<member_queue> queue,
                                               std::uint64_t ticket,
                                               const member_request& request);
    static void start_admitted(member_queue& queue);

    net::any_io_executor executor_;
    member_access& local_;
    member_pool& pool_;
    std::shared_ptr<const pool_view> view_;
    std::map<member_id, std::shared_ptr<member_queue>> queues_;
    std::uint64_t next_ticket_ = 1;
};

} // namespace papayabridge
