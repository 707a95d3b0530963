/// \file caller_session.hpp
/// One caller's connection: its values, prepared names and transaction, and the order of
/// its statements.

#pragma once

#include "statement_runner.hpp"

namespace papayabridge {

class session_registry;

/// Serves one connection until it ends. Kept alive by its own coroutine.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(tcp::socket socket, session_services& services,
                   session_registry& registry);
    ~caller_session();

    void start();
    /// Whether no statement is being run and no transaction is open.
    bool is_at_rest() const noexcept { return !running_ && !transaction_; }
    /// Whether a statement is being run.
    bool is_running() const noexcept { return running_; }
    /// Ends the connection; an open transaction is rolled back.
    void close();

private:
    using step = net::awaitable<statement_answer> (caller_session::*)(const statement&);

    net::awaitable<void> serve();
    net::awaitable<bool> open();
    net::awaitable<void> refuse_session(const error& why);
    net::awaitable<bool> has_configuration();
    net::awaitable<result<caller_message>> next_message();
    net::awaitable<bool> write(std::string bytes);
    net::awaitable<statement_answer> answer(const statement& one);
    statement_answer refuse(const unknown_statement& one) const;

    net::awaitable<statement_answer> begin(const statement& one);
    net::awaitable<statement_answer> commit(const statement& one);
    net::awaitable<statement_answer> roll_back(const statement& one);
    net::awaitable<statement_answer> run(const statement& one);
    net::awaitable<statement_answer> set_value(const statement& one);
    net::awaitable<statement_answer> prepare(const statement& one);
    net::awaitable<statement_answer> drop_prepared(const statement& one);

    statement_answer done() const;
    statement_answer failed(error why) const;
    session_phase phase() const;
    void end_transaction();
    void watch_idle_transaction();
    const pooled_route* route() const;
    void note_leaving() const;

    tcp::socket socket_;
    session_services& services_;
    session_registry& registry_;
    session_state state_;
    statement_runner runner_;
    std::optional<session_transaction> transaction_;
    net::steady_timer idle_;
    std::string input_;
    bool running_ = false;
};

/// The sessions that are open.
class session_registry
{
public:
    void add(caller_session* session) { sessions_.insert(session); }
    void remove(caller_session* session) { sessions_.erase(session); }
    std::size_t size() const noexcept { return sessions_.size(); }
    /// A copy, as closing changes the set.
    std::vector<std::shared_ptr<caller_session>> all() const;

    /// Sessions close as soon as they are at rest.
    bool closes_at_rest = false;

private:
    std::set<caller_session*> sessions_;
};

} // namespace papayabridge
