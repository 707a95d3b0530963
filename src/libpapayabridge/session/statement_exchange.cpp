// The exchange of one statement with a member, including the connection setup before it
// and the rollback after it.

#include "statement_runner.hpp"

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

} // namespace

void roll_back_and_release(session_services& services, pooled_connection connection,
                           bool rollback_sent)
{
    net::co_spawn(
        services.executor,
        roll_back(std::move(connection), services.member_protocol, rollback_sent),
        net::detached);
}

// Sends the setup and \p bytes together, and returns the answer to the last statement.
net::awaitable<result<statement_answer>>
statement_runner::exchange(execution& run, pooled_connection& connection,
                           connection_setup setup, std::string bytes)
{
    auto started = steady_clock::now();
    outstanding_answer outstanding(services_.pool, connection.member(),
                                   run.writes || run.stmt.verb == statement_verb::commit);
    auto sent = co_await connection->send(
        encode_setup(services_.member_protocol, setup) + std::move(bytes), run.deadline);
    if (!sent) {
        co_return sent.error();
    }
    auto ready = co_await receive_setup_answers(connection, setup, run.deadline);
    if (!ready) {
        co_return ready.error();
    }
    auto answer = co_await connection->receive(run.deadline);
    if (answer) {
        outstanding.record_answer();
        services_.report.record_member_answer(connection.member(),
                                              steady_clock::now() - started);
    }
    if (!answer && steady_clock::now() >= run.deadline) {
        services_.pool.record_failure(connection.member(), run.writes);
    } else if (answer) {
        services_.pool.record_success(connection.member(), run.writes);
    }
    co_return answer;
}

// An answer may be lost while the next one arrives. A success that belongs to another
// statement is recognized by its missing receipt or by a different session phase.
result<statement_answer> statement_runner::check_answer(result<statement_answer> answer,
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

// Only the primary accepts a read-write BEGIN, and it refuses the transaction's
// statements once it is no longer the primary.
net::awaitable<result<statement_answer>>
statement_runner::begin_at_primary(execution& run, pooled_connection& connection)
{
    auto setup = plan_connection_setup(connection->contents, session_.values, run.shape);
    std::string bytes;
    services_.member_protocol.encode_begin(bytes, false, {});
    auto begun = co_await exchange(run, connection, std::move(setup), std::move(bytes));
    if (begun && begun.value().failure) {
        auto problem = *begun.value().failure;
        if (begun.value().phase == session_phase::idle) {
            connection.release();
        }
        co_return problem;
    }
    co_return begun;
}

} // namespace papayabridge
