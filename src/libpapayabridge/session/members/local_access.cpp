// The exchange of one statement with a member, including the connection setup before it
// and the rollback after it.

#include "local_access.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// A live member answers a rollback immediately.
constexpr std::chrono::milliseconds rollback_timeout{1000};

// Counts an outstanding statement while it lives, so that a member that answers nothing
// is detected before the statement times out.
class outstanding_answer
{
public:
    outstanding_answer(member_pool& pool, member_id member, bool writes)
        : pool_(pool), member_(std::move(member)), writes_(writes)
    {
        auto& health = pool_.health(member_);
        auto now = steady_clock::now();
        if (health.outstanding++ == 0) {
            health.last_answer = now;
        }
        if (writes_ && health.writes_outstanding++ == 0) {
            health.last_write_answer = now;
        }
    }
    ~outstanding_answer()
    {
        auto& health = pool_.health(member_);
        health.outstanding -= health.outstanding > 0 ? 1 : 0;
        health.writes_outstanding -= writes_ && health.writes_outstanding > 0 ? 1 : 0;
    }
    outstanding_answer(const outstanding_answer&) = delete;
    outstanding_answer& operator=(const outstanding_answer&) = delete;

    void record_answer()
    {
        auto& health = pool_.health(member_);
        health.last_answer = steady_clock::now();
        if (writes_) {
            health.last_write_answer = health.last_answer;
        }
    }

private:
    member_pool& pool_;
    member_id member_;
    bool writes_;
};

// Reads the answers to the setup, which precede the answer to the statement.
net::awaitable<result<void>> receive_setup_answers(pooled_connection& connection,
                                                   connection_setup& setup,
                                                   time_point deadline)
{
    for (std::size_t step = 0; step < setup.setup_answer_count(); ++step) {
        auto answer = co_await connection->receive(deadline);
        if (!answer) {
            co_return answer.error();
        }
        if (answer.value().failure) {
            co_return fail(error_kind::outcome_unknown,
                           "setting up the connection: " +
                               answer.value().failure->detail);
        }
    }
    connection->contents = std::move(setup.resulting_contents);
    co_return success();
}

net::awaitable<void> roll_back(pooled_connection connection, const member_codec& codec,
                               bool rollback_sent)
{
    auto deadline = steady_clock::now() + rollback_timeout;
    if (!rollback_sent) {
        std::string bytes;
        codec.encode_rollback(bytes);
        auto written = co_await connection->send(std::move(bytes), deadline);
        if (!written) {
            co_return;
        }
    }
    auto answer = co_await connection->receive(deadline);
    // Unless the answer shows an idle session, the connection is closed, which also rolls
    // back the transaction.
    if (answer && answer.value().phase == session_phase::idle) {
        connection.release();
    }
}

std::string encode_setup(const member_codec& codec, const connection_setup& setup)
{
    std::string bytes;
    if (setup.reset) {
        codec.encode_reset(bytes);
    }
    for (const auto& [name, value] : setup.values) {
        codec.encode_value(bytes, name, value);
    }
    if (setup.prepare) {
        codec.encode_prepare(bytes, setup.prepared_name, *setup.prepare);
    }
    return bytes;
}

// An answer may be lost while the next one arrives. A success that belongs to another
// statement is recognized by its missing receipt or by a different session phase.
result<statement_answer> check_answer(result<statement_answer> answer,
                                      session_phase after)
{
    bool is_foreign = answer && !answer.value().failure &&
                      (answer.value().receipt.empty() || answer.value().phase != after);
    if (is_foreign) {
        return fail(error_kind::outcome_unknown,
                    "received the answer to another statement");
    }
    return answer;
}

bool keeps_transaction(run_scope scope)
{
    return scope == run_scope::begin_read_write || scope == run_scope::begin_read_only;
}

session_phase phase_after(run_scope scope, const session_statement& work)
{
    return scope == run_scope::single || work.commits() ? session_phase::idle
                                                        : session_phase::in_transaction;
}

} // namespace

// A transaction on one of this process's connections.
class local_transaction : public member_transaction
{
public:
    local_transaction(local_access& access, service_name service,
                      pooled_connection connection, bool wrote)
        : access_(access), service_(std::move(service)),
          connection_(std::move(connection)), member_(connection_.member()), wrote_(wrote)
    {
    }
    ~local_transaction() override
    {
        if (connection_) {
            access_.roll_back_and_release(std::move(connection_), false);
        }
    }
    local_transaction(const local_transaction&) = delete;
    local_transaction& operator=(const local_transaction&) = delete;

    const member_id& member() const override { return member_; }
    bool is_open() const override { return static_cast<bool>(connection_); }

    net::awaitable<result<statement_answer>> run(session_statement work) override
    {
        auto after = work.commits() ? session_phase::idle : session_phase::in_transaction;
        auto answer = co_await access_.exchange_statement(work, connection_, std::nullopt,
                                                          run_scope::single, after);
        settle(answer);
        wrote_ = wrote_ || work.writes;
        if (wrote_ && work.commits()) {
            answer = co_await access_.verify_commit(service_, member_, work.deadline,
                                                    std::move(answer));
        }
        co_return answer;
    }

    // Ends the transaction unless the answer shows that it is still open. Closing the
    // connection rolls it back.
    void settle(const result<statement_answer>& answer)
    {
        if (!answer) {
            connection_.close();
        } else if (answer.value().phase == session_phase::idle) {
            connection_.release();
        } else if (answer.value().phase == session_phase::failed) {
            access_.roll_back_and_release(std::move(connection_), false);
        }
    }

private:
    local_access& access_;
    service_name service_;
    pooled_connection connection_;
    member_id member_;
    bool wrote_;
};

void local_access::roll_back_and_release(pooled_connection connection, bool rollback_sent)
{
    net::co_spawn(executor_, roll_back(std::move(connection), codec_, rollback_sent),
                  net::detached);
}

net::awaitable<member_outcome> local_access::run(member_request request)
{
    connection_request wanted{.service = request.service,
                              .members = request.members,
                              .session = request.work.session,
                              .account = request.account,
                              .rank = request.rank,
                              .needs_primary = request.needs_primary,
                              .wait_until = request.wait_until};
    auto started = steady_clock::now();
    auto taken = co_await pool_.acquire(std::move(wanted));
    auto waited = steady_clock::now() - started;
    if (!taken) {
        auto refused = failed_outcome(run_stage::waiting, taken.error());
        refused.waited = waited;
        co_return refused;
    }
    auto connection = std::move(taken.value());
    auto member = connection.member();
    auto unopened = co_await open_scope(request, connection);
    if (unopened) {
        unopened->member = member;
        unopened->waited = waited;
        co_return std::move(*unopened);
    }
    member_outcome outcome;
    outcome.stage = run_stage::sent;
    outcome.member = member;
    outcome.waited = waited;
    outcome.answer = co_await exchange_statement(
        request.work, connection,
        request.scope == run_scope::single ? request.at_least : std::nullopt,
        request.scope, phase_after(request.scope, request.work));
    if (keeps_transaction(request.scope)) {
        auto transaction = std::make_unique<local_transaction>(
            *this, request.service, std::move(connection), request.work.writes);
        transaction->settle(outcome.answer);
        outcome.transaction = std::move(transaction);
    } else if (outcome.answer && request.scope == run_scope::read_at_primary) {
        roll_back_and_release(std::move(connection), true);
    } else if (outcome.answer && outcome.answer.value().phase == session_phase::idle) {
        connection.release();
    }
    if (request.scope == run_scope::single && request.work.writes) {
        outcome.answer = co_await verify_commit(
            request.service, member, request.work.deadline, std::move(outcome.answer));
    }
    co_return outcome;
}

net::awaitable<result<statement_answer>>
local_access::verify_commit(service_name service, member_id member, time_point deadline,
                            result<statement_answer> answer)
{
    bool is_commit = answer && !answer.value().failure && answer.value().log_position;
    if (verifier_ == nullptr || !is_commit) {
        co_return answer;
    }
    bool is_held = co_await verifier_->verify(service, member,
                                              *answer.value().log_position, deadline);
    if (!is_held) {
        co_return fail(error_kind::outcome_unknown,
                       "no replica that may lead next is known to hold the commit");
    }
    co_return answer;
}

// Sends the BEGIN that the scope needs and awaits its answer. Returns the outcome if the
// transaction did not open. The statement must not be sent together with the BEGIN: a
// member that no longer leads refuses only the BEGIN and would run the statement by
// itself.
net::awaitable<std::optional<member_outcome>>
local_access::open_scope(const member_request& request, pooled_connection& connection)
{
    if (request.scope == run_scope::single) {
        co_return std::nullopt;
    }
    auto setup = plan_connection_setup(connection->contents, *request.work.session,
                                       request.work.shape);
    std::string bytes;
    codec_.encode_begin(bytes, request.scope == run_scope::begin_read_only,
                        request.at_least);
    auto begun =
        co_await exchange(request.work, connection, std::move(setup), std::move(bytes));
    if (begun && !begun.value().failure) {
        co_return std::nullopt;
    }
    member_outcome unopened;
    unopened.stage = run_stage::opening;
    if (begun && begun.value().phase == session_phase::idle) {
        connection.release();
    }
    unopened.answer = std::move(begun);
    co_return unopened;
}

net::awaitable<result<statement_answer>> local_access::exchange_statement(
    const session_statement& work, pooled_connection& connection,
    std::optional<position> at_least, run_scope scope, session_phase after)
{
    auto setup = plan_connection_setup(connection->contents, *work.session, work.shape);
    std::string bytes;
    codec_.encode_statement(bytes, *work.stmt, setup.prepared_name, at_least);
    if (scope == run_scope::read_at_primary) {
        codec_.encode_rollback(bytes);
    }
    auto reply = co_await exchange(work, connection, std::move(setup), std::move(bytes));
    co_return check_answer(std::move(reply), after);
}

// Sends the setup and \p bytes together, and returns the answer to the last statement.
net::awaitable<result<statement_answer>>
local_access::exchange(const session_statement& work, pooled_connection& connection,
                       connection_setup setup, std::string bytes)
{
    auto started = steady_clock::now();
    outstanding_answer outstanding(pool_, connection.member(),
                                   work.writes || work.commits());
    auto sent = co_await connection->send(encode_setup(codec_, setup) + std::move(bytes),
                                          work.deadline);
    if (!sent) {
        co_return sent.error();
    }
    auto ready = co_await receive_setup_answers(connection, setup, work.deadline);
    if (!ready) {
        co_return ready.error();
    }
    auto answer = co_await connection->receive(work.deadline);
    if (answer) {
        outstanding.record_answer();
        report_.record_member_answer(connection.member(), steady_clock::now() - started);
    }
    if (!answer && steady_clock::now() >= work.deadline) {
        pool_.record_failure(connection.member(), work.writes);
    } else if (answer) {
        pool_.record_success(connection.member(), work.writes);
    }
    co_return answer;
}

} // namespace papayabridge
