/// \file member_pool.hpp
/// This entry's limited connections to each member, and the queue of statements that
/// wait for one.

#pragma once

#include "core/accounts/connection_choice.hpp"
#include "core/routing/lag_avoidance.hpp"
#include "core/routing/leaving_clock.hpp"
#include "member_connection.hpp"
#include "session/pool_view.hpp"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <set>

namespace papayabridge {

class member_pool;

/// A connection acquired from the pool. The destructor closes it unless release()
/// returned it.
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
    /// Returns the connection to the pool for other statements.
    void release();
    /// Closes the connection.
    void close();

private:
    member_pool* pool_ = nullptr;
    std::unique_ptr<member_connection> connection_;
};

/// A statement's request for a connection.
struct connection_request
{
    service_name service;
    /// Acceptable members in order of preference.
    std::vector<member_id> members;
    const session_values* session = nullptr;
    /// The account to which the connection must belong; nothing if any will do.
    std::optional<account_name> account;
    /// Priority of the statement; 0 is the most urgent.
    unsigned rank = 0;
    /// Whether only the primary can run the statement.
    bool needs_primary = false;
    /// Time at which the request stops waiting.
    time_point wait_until;
};

/// What the pool has observed about a member.
struct member_health
{
    /// Start of the current series of failures; empty if the last use succeeded.
    std::optional<time_point> failing_since;
    time_point last_failure;
    /// Start of the current series of failed writes; other statements may still
    /// succeed.
    std::optional<time_point> writes_failing_since;
    /// The member is not used before this time.
    time_point avoid_until;
    /// The member answered that it is not the primary; statements that need a primary
    /// avoid it until this time.
    time_point denies_primary_until;
    /// Refusals of reads because its log was behind.
    lag_avoidance behind;
    leaving_clock leaving;
    /// Number of statements that wait for an answer of this member.
    unsigned outstanding = 0;
    /// Since when these statements have had no answer: the last answer, or the start of
    /// the first of them.
    time_point last_answer;
    /// The same two values for statements that write or commit.
    unsigned writes_outstanding = 0;
    time_point last_write_answer;
};

/// Pool of connections to all members of all services. Must be used on one thread.
class member_pool
{
public:
    member_pool(net::any_io_executor executor, const member_codec& codec);

    /// Adopts the members and limits of \p view.
    void update(const std::shared_ptr<const pool_view>& view);
    /// Acquires a connection to one of the requested members. Errors: `overloaded` if
    /// no connection became free, `unreachable` if no member can be reached,
    /// `superseded` if the member denies being the primary. May return an error early
    /// after the view or a connection changed, so that the caller selects members
    /// again.
    net::awaitable<result<pooled_connection>> acquire(connection_request request);

    /// The reason why \p member should not be used now; empty if there is none.
    std::optional<error> find_obstacle(const member_id& member, bool needs_primary);
    /// Whether \p member recently answered that it is not the primary.
    bool denies_primary_role(const member_id& member);
    /// Returns a shared placeholder record for an unknown member.
    member_health& health(const member_id& member);
    /// Records that the member answered; \p wrote tells whether the statement was a
    /// write.
    void record_success(const member_id& member, bool wrote);
    /// Records that the member could not be reached or did not answer.
    void record_failure(const member_id& member, bool wrote);

    /// Closes connections that have been idle for too long.
    void close_unused();

    std::size_t open_connections() const;
    std::size_t waiting_statements() const noexcept { return waiters_.size(); }

private:
    friend class pooled_connection;

    struct member_state
    {
        member_address address;
        member_run run;
        bool is_removed = false;
        // Most recently used last.
        std::vector<std::unique_ptr<member_connection>> idle;
        unsigned open_count = 0;
        unsigned max_open = 1;
        /// The member refused another connection; none is opened before this time.
        time_point full_until;
        /// Number of primary changes of its service when last updated.
        std::uint64_t primary_changes = 0;
        member_health health;
    };
    struct waiter
    {
        explicit waiter(const net::any_io_executor& executor) : wakeup(executor) {}

        const connection_request* request = nullptr;
        net::steady_timer wakeup;
        std::unique_ptr<member_connection> granted;
        /// The member to which it may open a connection in place of one that was closed.
        std::optional<member_id> may_open;
    };

    member_state* find_member(const member_id& member);
    static bool has_share_for(const member_state& state, unsigned rank);
    static std::optional<error> find_obstacle(const member_state& state,
                                              bool needs_primary);
    static std::optional<error> find_obstacle(const member_state& state,
                                              const connection_request& request);
    static connection_choice choose(const member_state& state,
                                    const connection_request& request, bool can_open);
    /// Takes an idle connection for \p request. Makes room for another one if there is
    /// none to take but one to give up.
    std::unique_ptr<member_connection> take_idle(member_state& state,
                                                 const connection_request& request);
    static bool has_room(const member_state& state);
    /// Opens a connection that is counted in `open_count` already.
    net::awaitable<result<pooled_connection>>
    open(member_id member, std::optional<account_name> account, time_point deadline);
    net::awaitable<result<pooled_connection>>
    wait_for_connection(const connection_request& request, error failure);
    /// The best waiter for a connection of \p member that belongs to \p account, or for
    /// any if it is empty.
    std::list<waiter*>::iterator best_waiter(const member_id& member,
                                             const std::optional<account_name>& account);
    void pass_on_room(const member_id& member, member_state& state);
    void on_released(std::unique_ptr<member_connection> connection);
    void on_closed(const member_id& member);
    void wake_waiters();

    net::any_io_executor executor_;
    const member_codec& codec_;
    std::map<member_id, member_state> members_;
    member_health unknown_member_;
    // In order of arrival.
    std::list<waiter*> waiters_;
};

} // namespace papayabridge
