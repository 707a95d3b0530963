#include "gate_link.hpp"

#include "net/tcp_options.hpp"
#include "rpc/frame.hpp"

#include <papayabridge/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
// Covers the handshake's round trips between regions.
constexpr std::chrono::milliseconds connect_timeout{250};
// How long a gate that could not be reached is not tried again.
constexpr std::chrono::milliseconds unreachable_time{400};
// How long a silent gate is not used. A suspended machine is usually back after seconds.
constexpr std::chrono::milliseconds silent_time{1000};
// How long a gate is not used that refused because it stops or was suspended. Longer than
// the other entries need to learn that it drains.
constexpr std::chrono::milliseconds stopping_time{3000};
// A gate that has sent nothing for this long while it owes an answer is pinged.
constexpr std::chrono::milliseconds ping_after{150};
// It is given up if it then sends nothing for this long in all.
constexpr std::chrono::milliseconds max_silence{450};
constexpr std::chrono::milliseconds silence_check_period{75};

// Its answer tells whether data was written, so it is awaited as long as there is time.
bool decides_outcome(const session_statement& work)
{
    return work.writes || work.commits();
}

} // namespace

// A request that waits for its response.
struct pending_statement
{
    pending_statement(const net::any_io_executor& executor, time_point deadline)
        : done_timer(executor, deadline)
    {
    }

    net::steady_timer done_timer;
    std::optional<gate_response> response;
    bool is_patient = false;
    bool is_abandoned = false;
};

struct gate_connection : std::enable_shared_from_this<gate_connection>
{
    explicit gate_connection(const net::any_io_executor& connection_executor)
        : executor(connection_executor), socket(executor), writer(socket)
    {
    }

    net::any_io_executor executor;
    tcp::socket socket;
    frame_writer writer;
    std::map<std::uint64_t, std::shared_ptr<pending_statement>> pending;
    /// Last time that something was received, or that the first outstanding request was
    /// sent.
    time_point last_heard;
    bool is_watched = false;
    bool is_silent = false;
    bool is_broken = false;
    /// No link uses it any more; it closes when its statements and transactions end.
    bool is_retired = false;
    unsigned open_transactions = 0;
    std::uint64_t next_id = 1;
    std::uint64_t next_transaction = 1;

    void close()
    {
        is_broken = true;
        boost::system::error_code ignored;
        socket.close(ignored);
        for (auto& [id, waiting] : pending) {
            waiting->is_abandoned = true;
            waiting->done_timer.cancel();
        }
        pending.clear();
    }

    void retire()
    {
        is_retired = true;
        close_if_unused();
    }

    void close_if_unused()
    {
        if (is_retired && !is_broken && pending.empty() && open_transactions == 0) {
            close();
        }
    }

    void send(const gate_message& message, std::uint64_t id)
    {
        frame request;
        request.id = id;
        request.payload = encode(message);
        writer.send(std::move(request), shared_from_this());
    }

    net::awaitable<result<gate_response>> call(const gate_message& message,
                                               time_point deadline, bool is_patient);
    net::awaitable<void> read_responses(std::shared_ptr<gate_connection> self);
    net::awaitable<void> watch_silence(std::shared_ptr<gate_connection> self);
    void give_up_on_silence();
};

// Sends a request and awaits its response. `unreachable` if it was not sent; every other
// error is `outcome_unknown`.
net::awaitable<result<gate_response>>
gate_connection::call(const gate_message& message, time_point deadline, bool is_patient)
{
    auto self = shared_from_this();
    if (is_broken) {
        co_return fail(error_kind::unreachable, "the connection to the gate is lost");
    }
    auto id = next_id++;
    auto waiting = std::make_shared<pending_statement>(executor, deadline);
    waiting->is_patient = is_patient;
    if (pending.empty()) {
        last_heard = steady_clock::now();
    }
    pending[id] = waiting;
    send(message, id);
    if (!is_watched) {
        is_watched = true;
        net::co_spawn(executor, watch_silence(self), net::detached);
    }
    if (!waiting->response && !waiting->is_abandoned) {
        co_await waiting->done_timer.async_wait(use_tuple);
    }
    pending.erase(id);
    close_if_unused();
    if (!waiting->response) {
        co_return fail(error_kind::outcome_unknown,
                       is_silent ? "the member's gate is silent"
                                 : "the member's gate did not answer");
    }
    co_return std::move(*waiting->response);
}

net::awaitable<void> gate_connection::read_responses(std::shared_ptr<gate_connection>)
{
    while (!is_broken) {
        auto response = co_await read_frame(socket, gate_message_limit);
        if (!response || response.value().kind != frame_kind::response) {
            break;
        }
        last_heard = steady_clock::now();
        is_silent = false;
        auto found = pending.find(response.value().id);
        if (found == pending.end()) {
            continue;
        }
        auto decoded = decode_gate_response(response.value().payload);
        if (!decoded) {
            log_line(log_event::gate_message_refused,
                     {{"detail", decoded.error().detail}});
            break;
        }
        found->second->response = std::move(decoded.value());
        found->second->done_timer.cancel();
        pending.erase(found);
    }
    close();
}

// Pings a gate that owes answers and sends nothing. A gate that runs answers at once,
// even if its members are slow.
net::awaitable<void> gate_connection::watch_silence(std::shared_ptr<gate_connection>)
{
    net::steady_timer timer(executor);
    bool pinged = false;
    while (!is_broken && !pending.empty()) {
        timer.expires_after(silence_check_period);
        co_await timer.async_wait(use_tuple);
        auto silence = steady_clock::now() - last_heard;
        if (silence < ping_after) {
            pinged = false;
        } else if (!pinged) {
            pinged = true;
            send({.call = gate_call::ping}, 0);
        } else if (silence > max_silence) {
            give_up_on_silence();
        }
    }
    is_watched = false;
}

// Statements whose outcome is known to be harmless are tried elsewhere. The others may
// still be answered when the gate runs again.
void gate_connection::give_up_on_silence()
{
    is_silent = true;
    for (auto& [id, waiting] : pending) {
        if (!waiting->is_patient) {
            waiting->is_abandoned = true;
            waiting->done_timer.cancel();
        }
    }
}

struct gate_link::state
{
    net::any_io_executor executor;
    entry_id gate;
    tcp::endpoint endpoint;
    token_codec key;
    std::shared_ptr<gate_connection> connection;
    std::vector<std::shared_ptr<net::steady_timer>> connect_waiters;
    time_point avoid_until;
    bool is_connecting = false;
    bool is_closed = false;

    void avoid(std::chrono::milliseconds time, const std::string& reason)
    {
        auto now = steady_clock::now();
        if (now >= avoid_until) {
            log_line(log_event::gate_avoided, {{"gate", gate.str()}, {"detail", reason}});
        }
        avoid_until = std::max(avoid_until, now + time);
    }
};

namespace {

net::awaitable<void> connect(std::shared_ptr<gate_link::state> link)
{
    auto opened = std::make_shared<gate_connection>(link->executor);
    net::steady_timer timer(link->executor, connect_timeout);
    // A timer that has expired can no longer be cancelled, so its handler checks whether
    // the connection is in use by then.
    timer.async_wait([opened, link](boost::system::error_code cancelled) {
        if (!cancelled && link->connection != opened) {
            opened->close();
        }
    });
    auto [failed] = co_await opened->socket.async_connect(link->endpoint, use_tuple);
    bool authenticated = false;
    if (!failed) {
        set_liveness_options(opened->socket);
        authenticated = co_await answer_challenge(opened->socket, link->key);
    }
    timer.cancel();
    link->is_connecting = false;
    if (link->is_closed) {
        opened->close();
    } else if (authenticated && !opened->is_broken) {
        link->connection = opened;
        net::co_spawn(link->executor, opened->read_responses(opened), net::detached);
    } else {
        link->avoid(unreachable_time, failed ? failed.message() : "no handshake");
    }
    for (const auto& waiter : std::exchange(link->connect_waiters, {})) {
        waiter->cancel();
    }
}

net::awaitable<std::shared_ptr<gate_connection>>
acquire_connection(std::shared_ptr<gate_link::state> link, time_point deadline)
{
    bool is_unusable =
        link->connection && (link->connection->is_silent || link->connection->is_broken);
    if (is_unusable) {
        link->connection->retire();
        link->connection.reset();
    }
    if (!link->connection && !link->is_connecting) {
        link->is_connecting = true;
        net::co_spawn(link->executor, connect(link), net::detached);
    }
    while (link->is_connecting && steady_clock::now() < deadline) {
        auto waiter = std::make_shared<net::steady_timer>(link->executor, deadline);
        link->connect_waiters.push_back(waiter);
        co_await waiter->async_wait(use_tuple);
    }
    co_return link->connection;
}

std::chrono::milliseconds time_until(time_point moment)
{
    auto left =
        std::chrono::ceil<std::chrono::milliseconds>(moment - steady_clock::now());
    return std::max(left, std::chrono::milliseconds(0));
}

void add_statement(gate_message& message, const session_statement& work)
{
    message.stmt = *work.stmt;
    message.session.values = work.session->values;
    message.shape = work.shape;
    message.writes = work.writes;
    message.time_left = time_until(work.deadline);
}

// A transaction at a member, reached through its gate.
class gate_transaction : public member_transaction
{
public:
    gate_transaction(std::shared_ptr<gate_link::state> link,
                     std::shared_ptr<gate_connection> connection, std::uint64_t number,
                     member_id member)
        : link_(std::move(link)), connection_(std::move(connection)), number_(number),
          member_(std::move(member))
    {
        ++connection_->open_transactions;
    }
    ~gate_transaction() override
    {
        if (is_open_ && !connection_->is_broken) {
            connection_->send(
                {.call = gate_call::end_transaction, .transaction = number_}, 0);
        }
        --connection_->open_transactions;
        connection_->close_if_unused();
    }
    gate_transaction(const gate_transaction&) = delete;
    gate_transaction& operator=(const gate_transaction&) = delete;

    const member_id& member() const override { return member_; }
    bool is_open() const override { return is_open_; }
    void set_open(bool is_open) { is_open_ = is_open; }

    net::awaitable<result<statement_answer>> run(session_statement work) override
    {
        if (connection_->is_broken) {
            is_open_ = false;
            co_return transaction_lost_answer();
        }
        gate_message message;
        message.call = gate_call::run_in_transaction;
        message.transaction = number_;
        add_statement(message, work);
        auto response =
            co_await connection_->call(message, work.deadline, decides_outcome(work));
        if (!response) {
            if (connection_->is_silent) {
                link_->avoid(silent_time, response.error().detail);
            }
            co_return response.error();
        }
        is_open_ = response.value().is_open;
        co_return std::move(response.value().answer);
    }

private:
    // The gate rolled back when the connection ended, before this statement was sent.
    static statement_answer transaction_lost_answer()
    {
        statement_answer answer;
        answer.failure = fail(error_kind::transaction_lost,
                              "the connection to the member's gate was lost");
        answer.phase = session_phase::failed;
        return answer;
    }

    std::shared_ptr<gate_link::state> link_;
    std::shared_ptr<gate_connection> connection_;
    std::uint64_t number_;
    member_id member_;
    bool is_open_ = true;
};

} // namespace

gate_link::gate_link(net::any_io_executor executor, entry_id gate, tcp::endpoint endpoint,
                     token_codec fleet_key)
    : state_(std::make_shared<state>(state{.executor = std::move(executor),
                                           .gate = std::move(gate),
                                           .endpoint = std::move(endpoint),
                                           .key = std::move(fleet_key)}))
{
}

gate_link::~gate_link()
{
    state_->is_closed = true;
    if (state_->connection) {
        state_->connection->retire();
    }
}

bool gate_link::is_avoided() const
{
    return steady_clock::now() < state_->avoid_until;
}

void gate_link::avoid(std::chrono::milliseconds time, const std::string& reason)
{
    state_->avoid(time, reason);
}

const tcp::endpoint& gate_link::endpoint() const noexcept
{
    return state_->endpoint;
}

net::awaitable<result<std::vector<token_grant>>>
gate_link::request_tokens(std::vector<token_request> requests, time_point deadline)
{
    auto link = state_;
    auto connection = co_await acquire_connection(link, deadline);
    if (!connection) {
        co_return fail(error_kind::unreachable, "cannot reach " + link->gate.str());
    }
    gate_message message{.call = gate_call::grant_operations};
    message.token_requests = std::move(requests);
    auto response = co_await connection->call(message, deadline, false);
    if (!response) {
        co_return response.error();
    }
    co_return std::move(response.value().token_grants);
}

net::awaitable<gate_link::reply> gate_link::run(const member_request& request)
{
    auto link = state_;
    auto connection = co_await acquire_connection(link, request.wait_until);
    reply got;
    if (!connection) {
        got.gate_failed = true;
        got.outcome = failed_outcome(
            run_stage::waiting,
            fail(error_kind::unreachable, "cannot reach the gate " + link->gate.str()));
        co_return got;
    }
    gate_message message;
    message.call = gate_call::run;
    message.service = request.service;
    message.member = request.members.front();
    message.account = request.account;
    message.scope = request.scope;
    message.rank = request.rank;
    message.needs_primary = request.needs_primary;
    message.refuse_if_busy = request.refuse_if_busy;
    message.at_least = request.at_least;
    message.wait = time_until(request.wait_until);
    add_statement(message, request.work);
    bool opens = request.scope == run_scope::begin_read_write ||
                 request.scope == run_scope::begin_read_only;
    message.transaction = opens ? connection->next_transaction++ : 0;
    auto response = co_await connection->call(message, request.work.deadline,
                                              decides_outcome(request.work));
    auto member = request.members.front();
    if (!response && response.error().kind == error_kind::unreachable) {
        got.gate_failed = true;
        got.outcome = failed_outcome(run_stage::waiting, response.error());
        co_return got;
    }
    if (!response) {
        if (connection->is_silent) {
            link->avoid(silent_time, response.error().detail);
        }
        got.outcome = failed_outcome(run_stage::sent, response.error(), member);
        if (opens) {
            // Rolls back what the gate may still open.
            got.outcome.transaction = std::make_unique<gate_transaction>(
                link, connection, message.transaction, member);
        }
        co_return got;
    }
    auto& answered = response.value();
    got.outcome.stage = answered.stage;
    got.outcome.waited = answered.waited;
    got.outcome.is_unservable = answered.is_unservable;
    got.outcome.answer = std::move(answered.answer);
    if (answered.stage != run_stage::waiting) {
        got.outcome.member = member;
    } else if (!got.outcome.answer &&
               got.outcome.answer.error().kind == error_kind::leaving) {
        got.gate_failed = true;
        link->avoid(stopping_time, got.outcome.answer.error().detail);
    }
    if (answered.stage == run_stage::sent && opens) {
        auto transaction = std::make_unique<gate_transaction>(
            link, connection, message.transaction, member);
        transaction->set_open(answered.is_open);
        got.outcome.transaction = std::move(transaction);
    }
    co_return got;
}

} // namespace papayabridge
