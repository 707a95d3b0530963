/// \file statement_runner.hpp
/// Runs one session's statements at members: chooses the member, brings the connection
/// to the session's state, sends again what is known not to have run.

#pragma once

#include "core/position_samples.hpp"
#include "member_pool.hpp"
#include "statement_report.hpp"

namespace papayabridge {

/// What all sessions of an entry share. Single thread.
struct session_services
{
    net::any_io_executor executor;
    const caller_codec& callers;
    const member_codec& members;
    member_pool& pool;
    std::shared_ptr<const pool_view> view;
    /// Positions of each service's primary.
    std::map<service_name, position_samples> samples;
    statement_report& report;
    /// Whether news of the control state arrive.
    bool follows_keepers = true;
};

/// A session's state between statements.
struct session_state
{
    database_name database;
    session_values values;
    /// Position of its last acknowledged commit.
    std::optional<position> last_commit;
    /// A statement was refused that other entries may serve, but not this one.
    bool is_better_elsewhere = false;
};

/// An open transaction.
struct session_transaction
{
    pooled_route route;
    bool read_only = false;
    /// Set once a statement was sent: until then the transaction is at no member.
    pooled_connection connection;
    bool wrote = false;
    /// Whether its member proved to be the primary at its begin.
    bool at_primary = false;
    /// It failed, and waits to be ended.
    bool failed = false;
    /// Why it failed, if that was not an answer to a statement.
    std::optional<error> lost;
};

/// Runs statements; one at a time for each session.
class statement_runner
{
public:
    statement_runner(session_services& services, session_state& session)
        : services_(services), session_(session)
    {
    }

    /// Runs a read or write outside any transaction.
    net::awaitable<statement_answer> run_single(const statement& one,
                                                const pooled_route& route);
    /// Runs a read, write or commit of \p transaction. Its phase says whether the
    /// transaction goes on.
    net::awaitable<statement_answer> run_within(const statement& one,
                                                session_transaction& transaction);

private:
    /// One statement on its way to an answer.
    struct attempt
    {
        const statement& one;
        const pooled_route& route;
        bool writes = false;
        /// What must be prepared at the member.
        std::optional<prepared_shape> shape;
        time_point deadline;
        /// Until then it may wait for a connection.
        time_point wait_until;
        /// When it arrived; the second with suspensions included.
        time_point began;
        position_samples::time arrived;
        /// The configuration that it runs under.
        config_version version;
        /// Spent without a member connection.
        std::chrono::nanoseconds waited{0};
        unsigned attempts = 0;
        /// The last member tried, and the position that it had to hold.
        member_id last_member;
        std::optional<position> last_needed;
        /// Members that failed this statement, tried again only after all others.
        std::set<member_id> failed_at;
        error last_problem{error_kind::no_primary, "no member can serve it"};
        /// A try may have run at a member; what is tried later does not change that.
        bool may_have_run = false;
        /// Not expected to become possible here soon.
        bool is_unservable = false;
    };
    /// Where a read may run.
    struct placement
    {
        std::vector<member_id> members;
        /// The position that the member's log must hold; without one only the proven
        /// primary may run it.
        std::optional<position> at_least;
    };

    attempt begin(const statement& one, const pooled_route& route) const;
    bool may_go_on(const attempt& work) const;
    placement place(const attempt& work, bool needs_primary) const;
    std::optional<position> needed_position(const attempt& work) const;
    bool is_unservable(const attempt& work, const placement& where) const;
    net::awaitable<pooled_connection> take(attempt& work, const placement& where);
    net::awaitable<void> rest(attempt& work);

    net::awaitable<statement_answer> run_until_answered(attempt& work);
    net::awaitable<std::optional<statement_answer>> try_write(attempt& work);
    net::awaitable<std::optional<statement_answer>> try_read(attempt& work);
    net::awaitable<bool> bind(attempt& work, session_transaction& transaction);
    net::awaitable<result<statement_answer>> prove_primary(attempt& work,
                                                           pooled_connection& connection);
    net::awaitable<result<statement_answer>> exchange(attempt& work,
                                                      pooled_connection& connection,
                                                      connection_setup setup,
                                                      std::string bytes);
    net::awaitable<statement_answer> run_bound(attempt& work,
                                               session_transaction& transaction);
    static result<statement_answer> own_answer(result<statement_answer> answer,
                                               session_phase after);
    net::awaitable<statement_answer> end_within(attempt& work,
                                                session_transaction& transaction,
                                                result<statement_answer> answer);
    statement_answer give_up(const attempt& work, session_phase phase);
    statement_facts facts(const attempt& work) const;
    void report_end(const attempt& work, const statement_answer& answer);
    static void set_problem(attempt& work, const error& problem);
    void note_problem(attempt& work, const member_id& member, const error& problem,
                      std::optional<position> reached = {});
    void sample(const attempt& work, position_samples::time sent,
                const statement_answer& answer);

    session_services& services_;
    session_state& session_;
};

/// Ends the transaction on \p connection in the background and gives it back. \p sent
/// tells that the rollback was sent already.
void recycle(session_services& services, pooled_connection connection, bool sent);

} // namespace papayabridge
