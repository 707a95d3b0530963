/// \file local_access.hpp
/// Runs statements at members over this process's own connections.

#pragma once

#include "commit_verifier.hpp"
#include "member_access.hpp"
#include "member_pool.hpp"
#include "session/callers/statement_report.hpp"

namespace papayabridge {

/// Uses the connections of a member_pool. The references must outlive the object and its
/// transactions. Must be used on one thread.
class local_access : public member_access
{
public:
    local_access(net::any_io_executor executor, member_pool& pool,
                 const member_codec& codec, statement_report& report)
        : executor_(std::move(executor)), pool_(pool), codec_(codec), report_(report)
    {
    }

    /// Has commits verified before they are acknowledged.
    void use_verifier(commit_verifier& verifier) { verifier_ = &verifier; }

    net::awaitable<member_outcome> run(member_request request) override;

private:
    friend class local_transaction;

    net::awaitable<std::optional<member_outcome>>
    open_scope(const member_request& request, pooled_connection& connection);
    net::awaitable<result<statement_answer>> exchange(const session_statement& work,
                                                      pooled_connection& connection,
                                                      connection_setup setup,
                                                      std::string bytes);
    net::awaitable<result<statement_answer>>
    exchange_statement(const session_statement& work, pooled_connection& connection,
                       std::optional<position> at_least, run_scope scope,
                       session_phase after);
    /// Passes the answer to a commit on, or tells that its outcome is unknown if it may
    /// be lost in a change of primary.
    net::awaitable<result<statement_answer>>
    verify_commit(service_name service, member_id member, time_point deadline,
                  result<statement_answer> answer);
    /// Rolls back the transaction on \p connection in the background and then releases
    /// the connection. \p rollback_sent tells that the ROLLBACK was already sent.
    void roll_back_and_release(pooled_connection connection, bool rollback_sent);

    net::any_io_executor executor_;
    member_pool& pool_;
    const member_codec& codec_;
    statement_report& report_;
    commit_verifier* verifier_ = nullptr;
};

} // namespace papayabridge
