/// \file caller_session.hpp
/// A caller's session on one connection: its values, prepared statements and
/// transaction. Its statements run one at a time, in order.

#pragma once

#include "statement_runner.hpp"

namespace papayabridge {

class session_registry;

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

private:
    using statement_handler =
        net::awaitable<statement_answer> (caller_session::*)(const statement&);

    net::awaitable<void> serve();
    net::awaitable<bool> open_session();
    net::awaitable<void> refuse_session(const error& reason);
    net::awaitable<bool> wait_for_configuration();
    net::awaitable<result<caller_message>> read_message();
    net::awaitable<bool> write(std::string bytes);
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
    bool running_ = false;
    // An answer is written in parts if it is larger than the socket's buffer.
    bool writing_ = false;
};

/// The open sessions of an entry.
class session_registry
{
public:
    void add(caller_session* session) { sessions_.insert(session); }
    void remove(caller_session* session) { sessions_.erase(session); }
    std::size_t size() const noexcept { return sessions_.size(); }
    /// Returns a copy, because closing a session changes the set.
    std::vector<std::shared_ptr<caller_session>> open_sessions() const;

    /// Whether sessions close as soon as they are idle; set during shutdown.
    bool close_when_idle = false;

private:
    std::set<caller_session*> sessions_;
};

} // namespace papayabridge
