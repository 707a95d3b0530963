// One exchange of a statement with a member, its setup before and its rollback after.

#include "statement_runner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// A rollback is answered at once by a member that is alive.
constexpr std::chrono::milliseconds rollback_timeout{1000};

// Counts a statement that waits for its answer, so that a member which gives none to
// anybody is noticed before the statement's own limit.
class answer_watch
{
public:
    answer_watch(member_pool& pool, member_id member, bool writes)
        : pool_(pool), member_(std::move(member)), writes_(writes)
    {
        auto& health = pool_.health(member_);
        auto now = steady_clock::now();
        if (health.outstanding++ == 0) {
            health.last_sign = now;
        }
        if (writes_ && health.writes_outstanding++ == 0) {
            health.last_write_sign = now;
        }
    }
    ~answer_watch()
    {
        auto& health = pool_.health(member_);
        health.outstanding -= health.outstanding > 0 ? 1 : 0;
        health.writes_outstanding -= writes_ && health.writes_outstanding > 0 ? 1 : 0;
    }
    answer_watch(const answer_watch&) = delete;
    answer_watch& operator=(const answer_watch&) = delete;

    void answered()
    {
        auto& health = pool_.health(member_);
        health.last_sign = steady_clock::now();
        if (writes_) {
            health.last_write_sign = health.last_sign;
        }
    }

private:
    member_pool& pool_;
    member_id member_;
    bool writes_;
};

// Reads the answers to the setup before that to a statement.
net::awaitable<result<void>> finish_setup(pooled_connection& connection,
                                          connection_setup& setup, time_point deadline)
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
                               bool sent)
{
    auto deadline = steady_clock::now() + rollback_timeout;
    if (!sent) {
        std::string bytes;
        codec.encode_rollback(bytes);
        auto written = co_await connection->send(std::move(bytes), deadline);
        if (!written) {
            co_return;
        }
    }
    auto answer = co_await connection->receive(deadline);
    // A connection in any doubt is closed, which rolls back, too.
    if (answer && answer.value().phase == session_phase::idle) {
        connection.give_back();
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

void recycle(session_services& services, pooled_connection connection, bool sent)
{
    net::co_spawn(services.executor,
                  roll_back(std::move(connection), services.members, sent),
                  net::detached);
}

// Sends the setup and \p bytes together, and reads the answer to the last statement.
net::awaitable<result<statement_answer>>
statement_runner::exchange(attempt& work, pooled_connection& connection,
                           connection_setup setup, std::string bytes)
{
    auto began = steady_clock::now();
    answer_watch watch(services_.pool, connection.member(),
                       work.writes || work.one.verb == statement_verb::commit);
    auto sent = co_await connection->send(
        encode_setup(services_.members, setup) + std::move(bytes), work.deadline);
    if (!sent) {
        co_return sent.error();
    }
    auto ready = co_await finish_setup(connection, setup, work.deadline);
    if (!ready) {
        co_return ready.error();
    }
    auto answer = co_await connection->receive(work.deadline);
    if (answer) {
        watch.answered();
        services_.report.member_answered(connection.member(),
                                         steady_clock::now() - began);
    }
    if (!answer && steady_clock::now() >= work.deadline) {
        services_.pool.note_failure(connection.member(), work.writes);
    } else if (answer) {
        services_.pool.note_success(connection.member(), work.writes);
    }
    co_return answer;
}

// An answer can be lost while the one behind it arrives. A success that is not the
// statement's own has no receipt, or leaves the session in another phase.
result<statement_answer> statement_runner::own_answer(result<statement_answer> answer,
                                                      session_phase after)
{
    bool foreign = answer && !answer.value().failure &&
                   (answer.value().receipt.empty() || answer.value().phase != after);
    if (foreign) {
        return fail(error_kind::outcome_unknown, "the answer is of another statement");
    }
    return answer;
}

// A begin that may write succeeds only at the primary, and what follows in its
// transaction is refused once the member has lost the lead.
net::awaitable<result<statement_answer>>
statement_runner::prove_primary(attempt& work, pooled_connection& connection)
{
    auto setup = plan_connection_setup(connection->contents, session_.values, work.shape);
    std::string bytes;
    services_.members.encode_begin(bytes, false, {});
    auto begun = co_await exchange(work, connection, std::move(setup), std::move(bytes));
    if (begun && begun.value().failure) {
        auto problem = *begun.value().failure;
        if (begun.value().phase == session_phase::idle) {
            connection.give_back();
        }
        co_return problem;
    }
    co_return begun;
}

} // namespace papayabridge
