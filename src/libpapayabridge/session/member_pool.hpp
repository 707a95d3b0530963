/// \file member_pool.hpp
/// The few connections of this entry to each member, and the statements that wait for
/// one.

#pragma once

#include "member_connection.hpp"
#include "pool_view.hpp"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <set>

namespace papayabridge {

class member_pool;

/// A connection taken from the pool. It is closed unless it is given back.
class pooled_connection
{
public:
    pooled_connection() = default;
    pooled_connection(member_pool& pool, std::unique_ptr<member_connection> connection);
    pooled_connection(pooled_connection&& other) noexcept;
    pooled_connection& operator=(pooled_connection&& other) noexcept;
    ~pooled_connection();

    explicit operator bool() const noexcept { return connection_ != nullptr; }
    member_connection* operator->() const noexcept { return connection_.get(); }
    const member_id& member() const { return connection_->address().id; }
    /// Another statement may use it.
    void give_back();
    /// Closes it.
    void drop();

private:
    member_pool* pool_ = nullptr;
    std::unique_ptr<member_connection> connection_;
};

/// What a statement needs a connection for.
struct connection_request
{
    service_name service;
    /// Acceptable members, best first.
    std::vector<member_id> members;
    const session_values* session = nullptr;
    /// 0 is the most urgent.
    unsigned rank = 0;
    /// Whether only the primary can run it.
    bool needs_primary = false;
    /// Give up waiting then.
    time_point wait_until;
};

/// What the pool learned of a member.
struct member_health
{
    /// Since when it could not be used; nothing if the last use succeeded.
    std::optional<time_point> failing_since;
    time_point last_failure;
    /// Since when writes got no answer, though other statements may.
    std::optional<time_point> writes_failing_since;
    /// Not used before.
    time_point avoid_until;
    /// It said that it is not the primary; not asked for what needs one before.
    time_point denies_lead_until;
    /// Refused a read as not fresh enough; not asked for \p reached or more before.
    time_point behind_until;
    /// How far its log had come then.
    position reached;
    /// Since when this entry knows that it leaves.
    std::optional<time_point> leaving_since;
    /// Statements that wait for its answer, and since when there has been none.
    unsigned outstanding = 0;
    time_point last_sign;
    /// The same of statements that write or commit.
    unsigned writes_outstanding = 0;
    time_point last_write_sign;
};

/// Single thread.
class member_pool
{
public:
    member_pool(net::any_io_executor executor, const member_codec& codec);

    /// Follows the members of \p view.
    void update(const std::shared_ptr<const pool_view>& view);
    /// Takes a connection to one of the members asked for. Errors: `overloaded` if none
    /// became free, `unreachable` if none can be reached. Also returns without one when
    /// something changed, so that the caller chooses its members again.
    net::awaitable<result<pooled_connection>> take(connection_request request);

    /// Whether \p member said not long ago that it is not the primary.
    bool denies_lead(const member_id& member);
    /// Of a member that is not known, a record that nobody uses.
    member_health& health(const member_id& member);
    /// A statement to the member got its answer.
    void note_success(const member_id& member, bool wrote);
    /// The member could not be reached or did not answer.
    void note_failure(const member_id& member, bool wrote);

    /// Closes connections that were not used for a while.
    void close_unused();

    std::size_t open_connections() const;
    std::size_t waiting() const noexcept { return waiters_.size(); }

private:
    friend class pooled_connection;

    struct slot
    {
        member_address address;
        member_run run;
        bool gone = false;
        // Used last at the end.
        std::vector<std::unique_ptr<member_connection>> idle;
        unsigned open = 0;
        unsigned most = 1;
        /// The member refused more connections; none is opened before.
        time_point full_until;
        /// Changes of primary that its service has had.
        std::uint64_t primary_changes = 0;
        member_health health;
    };
    struct waiter
    {
        explicit waiter(const net::any_io_executor& executor) : woken(executor) {}

        const connection_request* request = nullptr;
        net::steady_timer woken;
        std::unique_ptr<member_connection> granted;
    };

    slot* find(const member_id& member);
    static bool may_use(const slot& one, unsigned rank);
    static std::optional<error> obstacle(const slot& one,
                                         const connection_request& request);
    std::unique_ptr<member_connection> take_idle(slot& from,
                                                 const session_values& session);
    net::awaitable<result<pooled_connection>> open(member_id member, time_point deadline);
    net::awaitable<std::unique_ptr<member_connection>>
    wait(const connection_request& request);
    std::list<waiter*>::iterator best_waiter(const member_id& member);
    void returned(std::unique_ptr<member_connection> connection);
    void dropped(const member_id& member);
    void wake_all();

    net::any_io_executor executor_;
    const member_codec& codec_;
    std::map<member_id, slot> slots_;
    member_health unknown_;
    // In order of arrival.
    std::list<waiter*> waiters_;
};

} // namespace papayabridge
