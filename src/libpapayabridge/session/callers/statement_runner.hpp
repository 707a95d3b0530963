/// \file statement_runner.hpp
/// Runs one session's statements at members: selects the member, prepares the
/// connection for the session, and retries statements that are known not to have run.

#pragma once

#include "core/routing/position_samples.hpp"
#include "session/limits/operation_limiter.hpp"
#include "session/members/member_access.hpp"
#include "session/members/member_pool.hpp"
#include "statement_report.hpp"

namespace papayabridge {

/// Objects shared by all sessions of an entry. Must be used on one thread.
struct session_services
{
    net::any_io_executor executor;
    const caller_codec& caller_protocol;
    /// What this entry knows of the members' health.
    member_pool& pool;
    member_access& members;
    std::shared_ptr<const pool_view> view;
    /// Log positions observed at the primary of each service.
    std::map<service_name, position_samples> samples;
    statement_report& report;
    /// Whether the last keeper call succeeded, so that changes of primary are noticed.
    bool keepers_reachable = true;
    /// When the view was known to hold every accepted change, by boottime_now(). Empty if
    /// it never was.
    std::optional<position_samples::time> view_complete_at;
    /// Age of the view up to which access keys may be used; empty if they are not
    /// withdrawn.
    std::optional<position_samples::time> max_key_age;
    /// Limits the operations of accounts; null if there are no limits.
    operation_limiter* limiter = nullptr;
};

/// A session's state between statements.
struct session_state
{
    database_name database;
    /// The caller's access key.
    access_key_digest key;
    /// The account of the statement that runs.
    account_name account;
    session_values values;
    /// Position of the session's last acknowledged commit.
    std::optional<position> last_commit;
    /// A statement failed because this entry has no usable primary. Another entry may
    /// have one, so the session is closed when idle.
    bool should_reconnect = false;
};

/// An open transaction.
struct session_transaction
{
    pooled_route route;
    /// The account for which it runs.
    account_name account;
    /// Whether an operation of the account was admitted for it.
    bool is_admitted = false;
    bool read_only = false;
    /// Empty until the first statement is sent; before that, no member knows the
    /// transaction.
    std::unique_ptr<member_transaction> at_member;
    bool wrote = false;
    /// Whether the member accepted a read-write BEGIN, which only a primary does.
    bool at_primary = false;
    /// The transaction failed and accepts only COMMIT or ROLLBACK.
    bool failed = false;
    /// Why the transaction failed, if not through an answer that the caller received.
    std::optional<error> loss_reason;
};

/// Runs statements of one session, one at a time.
class statement_runner
{
public:
    statement_runner(session_services& services, session_state& session)
        : services_(services), session_(session)
    {
    }

    /// Runs a read or write outside of a transaction.
    net::awaitable<statement_answer> run_alone(const statement& stmt,
                                               const pooled_route& route);
    /// Runs a read, write or commit in \p transaction. The phase of the answer tells
    /// whether the transaction is still open.
    net::awaitable<statement_answer> run_in_transaction(const statement& stmt,
                                                        session_transaction& transaction);

private:
    /// The progress of one statement, over all its attempts.
    struct execution
    {
        const statement& stmt;
        const pooled_route& route;
        bool writes = false;
        /// The shape that must be prepared at the member; empty if the statement
        /// executes none.
        std::optional<prepared_shape> shape;
        time_point deadline;
        /// Time until which it may be retried.
        time_point wait_until;
        /// Time until which it may wait for a connection, or for a slot at a gate.
        time_point queue_until;
        /// Arrival time. The second value includes the time for which the machine was
        /// suspended.
        time_point started;
        position_samples::time arrival;
        /// Configuration version in force at arrival.
        config_version version;
        /// Time spent without a member connection.
        std::chrono::nanoseconds waited{0};
        /// When the last attempt was sent to the member, at the earliest.
        position_samples::time sent{0};
        unsigned attempts = 0;
        /// The last member tried, and the position that its log had to hold.
        member_id last_member;
        std::optional<position> last_needed;
        /// Members at which this statement failed; they are tried only after all
        /// others.
        std::set<member_id> failed_members;
        error last_error{error_kind::no_primary, "no member can serve it"};
        /// Whether an attempt may have run at a member. Later attempts do not change
        /// that.
        bool may_have_run = false;
        /// Whether this entry has no usable primary and expects none soon.
        bool no_usable_primary = false;
    };
    /// The members that may run a statement.
    struct candidate_list
    {
        std::vector<member_id> members;
        /// The position that the member's log must hold. If empty, only the verified
        /// primary may run the statement.
        std::optional<position> min_position;
    };

    execution start_execution(const statement& stmt, const pooled_route& route) const;
    bool may_retry(const execution& run) const;
    candidate_list select_members(const execution& run, bool needs_primary) const;
    std::optional<position> needed_position(const execution& run) const;
    bool has_no_usable_primary(const execution& run,
                               const candidate_list& candidates) const;
    net::awaitable<member_outcome>
    run_at_member(execution& run, const candidate_list& candidates, run_scope scope);
    session_statement work_of(const execution& run) const;
    net::awaitable<void> pause_before_retry(execution& run);

    net::awaitable<statement_answer> run_until_answered(execution& run);
    net::awaitable<std::optional<statement_answer>> try_write(execution& run);
    net::awaitable<std::optional<statement_answer>> try_read(execution& run);
    net::awaitable<std::optional<result<statement_answer>>>
    open_transaction(execution& run, session_transaction& transaction);
    net::awaitable<statement_answer> run_bound(execution& run,
                                               session_transaction& transaction,
                                               result<statement_answer> answer);
    statement_answer finish_statement(execution& run, session_transaction& transaction,
                                      result<statement_answer> answer);
    statement_answer give_up(const execution& run, session_phase phase);
    statement_summary summarize(const execution& run) const;
    void report_finished(const execution& run, const statement_answer& answer);
    static void set_last_error(execution& run, const error& problem);
    void record_failure(execution& run, const member_id& member, const error& problem,
                        std::optional<position> reached = {});
    void record_sample(const execution& run, bool in_transaction, bool wrote,
                       const statement_answer& answer);

    session_services& services_;
    session_state& session_;
};

} // namespace papayabridge
