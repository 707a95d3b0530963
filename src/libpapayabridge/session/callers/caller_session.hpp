/// \file caller_session.hpp
/// A caller's session on one connection: its values, prepared statements and
/// transaction. Its statements run one at a time, in order.

#pragma once

#include "session_registry.hpp"
#include "statement_runner.hpp"

namespace papayabridge {

/// Applies to session values and to prepared names separately.
inline constexpr std::size_t max_session_values = 256;

/// Serves one connection until it ends. The session's coroutine owns the object.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(tcp::socket socket, session_services& services,
                   session_registry& registry);
    ~caller_session();

    void start();
    /// Whether no statement is running or being answered and no transaction is open.
    bool is_idle() const noexcept { return !is_running() && !transaction_; }
    bool is_running() const noexcept { return running_ || writing_; }
    /// Closes the connection; an open transaction is rolled back.
    void close();
    /// Sends \p reason if possible without waiting, closes the connection and frees what
    /// is held for the caller. Must not be called while a statement is running.
    void end(const error& reason);

    /// Whether STARTUP was accepted.
    bool is_open() const noexcept { return is_open_; }
    bool is_ended() const noexcept { return is_ended_; }
    time_point connected_at() const noexcept { return connected_at_; }
    tcp::endpoint remote() const;
    const database_name& database() const noexcept { return state_.database; }
    caller_holdings& holdings() noexcept { return holdings_; }
    reclaim_candidate as_candidate() const;

private:
    using statement_handler =
        net::awaitable<statement_answer> (caller_session::*)(const statement&);

    net::awaitable<void> serve();
    net::awaitable<bool> open_session();
    net::awaitable<void> refuse_session(const error& reason);
    net::awaitable<bool> wait_for_configuration();
    net::awaitable<result<caller_message>> read_message();
    net::awaitable<bool> write(std::string bytes);
    std::optional<memory_refusal> grow_input(std::size_t more);
    void shrink_input();
    void release_input();
    std::optional<error> hold_statement(statement_verb verb);
    void release_statement();
    std::optional<error> hold_values(std::size_t bytes_before, std::size_t bytes_after);
    std::string encode_reply(statement_answer reply, statement_verb verb);
    net::awaitable<statement_answer> answer(const statement& stmt);
    statement_answer refuse_unknown(const unknown_statement& unknown) const;

    /// Resolves the caller's account for a statement on \p used, and has the operation
    /// admitted if the statement starts it. Returns why the statement is refused.
    net::awaitable<std::optional<error>> authorize(const pooled_route& used);
    std::optional<error> authenticate(const pooled_route& used);

    net::awaitable<statement_answer> begin(const statement& stmt);
    net::awaitable<statement_answer> commit(const statement& stmt);
    net::awaitable<statement_answer> roll_back(const statement& stmt);
    net::awaitable<statement_answer> run(const statement& stmt);
    net::awaitable<statement_answer> set_value(const statement& stmt);
    net::awaitable<statement_answer> prepare(const statement& stmt);
    net::awaitable<statement_answer> close_prepared(const statement& stmt);

    statement_answer success_answer() const;
    statement_answer failed_answer(error reason) const;
    session_phase phase() const;
    void end_transaction();
    void start_idle_timer();
    const pooled_route* route() const;
    void log_close_reason() const;

    tcp::socket socket_;
    session_services& services_;
    session_registry& registry_;
    session_state state_;
    statement_runner runner_;
    std::optional<session_transaction> transaction_;
    net::steady_timer idle_timer_;
    std::string input_;
    /// Size of the message that was read last.
    std::size_t message_bytes_ = 0;
    caller_holdings holdings_;
    time_point connected_at_ = steady_clock::now();
    /// When the caller last sent bytes, or an answer was begun or sent.
    time_point last_progress_ = connected_at_;
    bool is_open_ = false;
    bool is_ended_ = false;
    bool running_ = false;
    // An answer is written in parts if it is larger than the socket's buffer.
    bool writing_ = false;
};

} // namespace papayabridge
