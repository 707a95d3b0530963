#include "gate_server.hpp"

#include "core/routing/position_samples.hpp"
#include "net/tcp_options.hpp"
#include "rpc/frame.hpp"

#include <papayabridge/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr std::chrono::milliseconds handshake_timeout{2000};
// Accepting fails while the process has no free descriptor.
constexpr std::chrono::milliseconds accept_pause{50};
// Time between two calls of check() after which the process was suspended; a busy process
// is late by less.
constexpr std::chrono::milliseconds suspension_gap{600};
// How long after a suspension requests are still taken for old: the time to read what
// arrived meanwhile.
constexpr std::chrono::milliseconds backlog_time{50};
// The entry that holds the transaction ends it first; this limit is for one that is gone.
constexpr std::chrono::milliseconds idle_margin{500};
// Open transactions of one entry. More than the connections of any member.
constexpr std::size_t max_transactions_per_peer = 10'000;

// An open transaction of another entry.
struct served_transaction
{
    std::unique_ptr<member_transaction> at_member;
    time_point last_used;
    bool is_busy = false;
    bool is_ended = false;
};

// A connection from another entry.
struct gate_peer
{
    gate_peer(tcp::socket accepted, token_bucket::asker peer_number)
        : socket(std::move(accepted)), writer(socket), timer(socket.get_executor()),
          number(peer_number)
    {
    }

    tcp::socket socket;
    frame_writer writer;
    net::steady_timer timer;
    /// Unique in this process.
    token_bucket::asker number;
    std::map<std::uint64_t, std::shared_ptr<served_transaction>> transactions;
    bool is_closed = false;

    void close()
    {
        is_closed = true;
        boost::system::error_code ignored;
        socket.close(ignored);
        for (auto& [number, transaction] : transactions) {
            transaction->is_ended = true;
        }
        // A running statement ends first; the others are rolled back here.
        transactions.clear();
    }
};

// `leaving` concerns the gate; the other kinds concern the member.
gate_response not_run(error_kind kind, std::string detail)
{
    return {.stage = run_stage::waiting, .answer = fail(kind, std::move(detail))};
}

gate_response transaction_lost(std::string detail)
{
    statement_answer answer;
    answer.failure = fail(error_kind::transaction_lost, std::move(detail));
    answer.phase = session_phase::failed;
    return {.stage = run_stage::sent, .answer = std::move(answer)};
}

} // namespace

struct gate_server::state
{
    net::any_io_executor executor;
    member_access& gate;
    gate_server_options options;
    tcp::acceptor acceptor;
    std::list<std::weak_ptr<gate_peer>> peers;
    position_samples::time last_check = boottime_now();
    position_samples::time backlog_until{0};
    std::size_t statements = 0;
    token_bucket::asker last_peer_number = 0;
    bool is_stopping = false;
    bool is_closed = false;

    bool has_old_requests()
    {
        auto now = boottime_now();
        if (now - last_check > suspension_gap) {
            backlog_until = now + backlog_time;
            last_check = now;
        }
        return now < backlog_until;
    }
};

namespace {

session_statement work_of(const gate_message& message)
{
    return {.stmt = &message.stmt,
            .session = &message.session,
            .shape = message.shape,
            .writes = message.writes,
            .deadline = steady_clock::now() + message.time_left};
}

void log_refusal(const gate_message& message, const member_id& member,
                 const gate_response& response)
{
    if (!response.answer) {
        const auto& why = response.answer.error();
        log_line(log_event::gate_refused, {{"request", message.stmt.id.str()},
                                           {"member", member.str()},
                                           {"waited_us", log_us(response.waited)},
                                           {"kind", answer_of(why.kind).name},
                                           {"detail", why.detail}});
    }
}

net::awaitable<gate_response> run_statement(std::shared_ptr<gate_server::state> server,
                                            std::shared_ptr<gate_peer> peer,
                                            const gate_message& message)
{
    if (server->is_stopping) {
        co_return not_run(error_kind::leaving, "the gate is stopping");
    }
    member_request request{.service = message.service,
                           .members = {message.member},
                           .work = work_of(message),
                           .scope = message.scope,
                           .account = message.account,
                           .rank = message.rank,
                           .needs_primary = message.needs_primary,
                           .at_least = message.at_least,
                           .wait_until = steady_clock::now() + message.wait,
                           .refuse_if_busy = message.refuse_if_busy};
    auto outcome = co_await server->gate.run(std::move(request));
    gate_response response;
    response.stage = outcome.stage;
    response.waited =
        std::chrono::duration_cast<std::chrono::microseconds>(outcome.waited);
    response.is_unservable = outcome.is_unservable;
    response.answer = std::move(outcome.answer);
    bool is_kept = outcome.transaction && outcome.transaction->is_open() &&
                   !peer->is_closed &&
                   peer->transactions.size() < max_transactions_per_peer;
    if (is_kept) {
        auto kept = std::make_shared<served_transaction>();
        kept->at_member = std::move(outcome.transaction);
        kept->last_used = steady_clock::now();
        peer->transactions[message.transaction] = std::move(kept);
        response.is_open = true;
    }
    co_return response;
}

net::awaitable<gate_response> run_in_transaction(std::shared_ptr<gate_peer> peer,
                                                 const gate_message& message)
{
    auto found = peer->transactions.find(message.transaction);
    if (found == peer->transactions.end() || found->second->is_busy) {
        co_return transaction_lost("the gate has no such open transaction");
    }
    auto transaction = found->second;
    transaction->is_busy = true;
    gate_response response;
    response.stage = run_stage::sent;
    response.answer = co_await transaction->at_member->run(work_of(message));
    transaction->is_busy = false;
    transaction->last_used = steady_clock::now();
    response.is_open = transaction->at_member->is_open() && !transaction->is_ended;
    if (!response.is_open) {
        peer->transactions.erase(message.transaction);
    }
    co_return response;
}

void end_transaction(gate_peer& peer, std::uint64_t number)
{
    auto found = peer.transactions.find(number);
    if (found != peer.transactions.end()) {
        found->second->is_ended = true;
        // The statement that still runs holds the object and ends it.
        if (!found->second->is_busy) {
            peer.transactions.erase(found);
        }
    }
}

net::awaitable<gate_response> respond(std::shared_ptr<gate_server::state> server,
                                      std::shared_ptr<gate_peer> peer,
                                      const gate_message& message, bool is_old)
{
    if (is_old && message.call == gate_call::run) {
        co_return not_run(error_kind::leaving, "the gate was suspended");
    }
    if (is_old) {
        end_transaction(*peer, message.transaction);
        co_return transaction_lost("the gate was suspended");
    }
    if (message.call == gate_call::run) {
        auto response = co_await run_statement(server, peer, message);
        co_return response;
    }
    auto response = co_await run_in_transaction(peer, message);
    co_return response;
}

member_id member_of(const gate_peer& peer, const gate_message& message)
{
    auto found = peer.transactions.find(message.transaction);
    return message.call == gate_call::run || found == peer.transactions.end()
               ? message.member
               : found->second->at_member->member();
}

net::awaitable<void> answer_request(std::shared_ptr<gate_server::state> server,
                                    std::shared_ptr<gate_peer> peer, std::uint64_t id,
                                    gate_message message, bool is_old)
{
    gate_response response;
    auto member = member_of(*peer, message);
    ++server->statements;
    std::string exception_text;
    try {
        response = co_await respond(server, peer, message, is_old);
    } catch (const std::exception& exception) {
        exception_text = exception.what();
    }
    if (!exception_text.empty()) {
        response = {.stage = run_stage::sent,
                    .answer =
                        fail(error_kind::internal, "the gate failed: " + exception_text)};
    }
    --server->statements;
    log_refusal(message, member, response);
    if (!peer->is_closed) {
        frame answer;
        answer.kind = frame_kind::response;
        answer.id = id;
        answer.payload = encode(response);
        peer->writer.send(std::move(answer), peer);
    }
}

// Answered at once: the bucket is in memory.
void grant_tokens(const std::shared_ptr<gate_server::state>& server,
                  const std::shared_ptr<gate_peer>& peer, std::uint64_t id,
                  const gate_message& message)
{
    gate_response response{.answer = statement_answer()};
    auto* home = server->options.tokens;
    response.token_grants = home != nullptr
                                ? home->grant(peer->number, message.token_requests)
                                : std::vector<token_grant>(message.token_requests.size());
    frame answer;
    answer.kind = frame_kind::response;
    answer.id = id;
    answer.payload = encode(response);
    peer->writer.send(std::move(answer), peer);
}

void handle_request(const std::shared_ptr<gate_server::state>& server,
                    const std::shared_ptr<gate_peer>& peer, std::uint64_t id,
                    gate_message message)
{
    if (message.call == gate_call::ping) {
        frame pong;
        pong.kind = frame_kind::response;
        pong.id = id;
        peer->writer.send(std::move(pong), peer);
    } else if (message.call == gate_call::end_transaction) {
        end_transaction(*peer, message.transaction);
    } else if (message.call == gate_call::grant_operations) {
        grant_tokens(server, peer, id, message);
    } else {
        net::co_spawn(server->executor,
                      answer_request(server, peer, id, std::move(message),
                                     server->has_old_requests()),
                      net::detached);
    }
}

net::awaitable<void> serve_peer(std::shared_ptr<gate_server::state> server,
                                std::shared_ptr<gate_peer> peer)
{
    set_liveness_options(peer->socket);
    peer->timer.expires_after(handshake_timeout);
    peer->timer.async_wait(
        [weak_peer = std::weak_ptr(peer)](boost::system::error_code cancelled) {
            auto late = weak_peer.lock();
            if (!cancelled && late) {
                late->close();
            }
        });
    bool authenticated = co_await challenge_peer(peer->socket, server->options.fleet_key);
    peer->timer.cancel();
    std::string problem = authenticated ? "" : "the peer does not hold the fleet's key";
    while (authenticated && !server->is_closed) {
        auto request = co_await read_frame(peer->socket, gate_message_limit);
        if (!request || request.value().kind != frame_kind::request) {
            bool ended = !request && request.error().kind == error_kind::unreachable;
            problem = ended ? "" : "not a request";
            break;
        }
        auto message = decode_gate_message(request.value().payload);
        if (!message) {
            problem = message.error().detail;
            break;
        }
        handle_request(server, peer, request.value().id, std::move(message.value()));
    }
    if (!problem.empty()) {
        log_line(log_event::gate_message_refused, {{"detail", problem}});
    }
    peer->close();
}

net::awaitable<void> accept_peers(std::shared_ptr<gate_server::state> server)
{
    while (!server->is_closed) {
        auto [failed, socket] = co_await server->acceptor.async_accept(use_tuple);
        if (failed == net::error::operation_aborted || server->is_closed) {
            co_return;
        }
        if (failed) {
            log_line(log_event::accept_failed, {{"detail", failed.message()}});
            net::steady_timer timer(server->executor, accept_pause);
            co_await timer.async_wait(use_tuple);
            continue;
        }
        auto peer =
            std::make_shared<gate_peer>(std::move(socket), ++server->last_peer_number);
        server->peers.remove_if([](const auto& old) { return old.expired(); });
        server->peers.push_back(peer);
        net::co_spawn(server->executor, serve_peer(server, peer), net::detached);
    }
}

// Rolls back the transactions for which \p should_end holds and no statement runs.
template <class Condition>
void end_transactions_if(gate_peer& peer, Condition should_end)
{
    std::erase_if(peer.transactions, [&](const auto& item) {
        return !item.second->is_busy && should_end(*item.second);
    });
}

} // namespace

gate_server::gate_server(net::any_io_executor executor, member_access& gate,
                         gate_server_options options)
    : state_(std::make_shared<state>(state{.executor = executor,
                                           .gate = gate,
                                           .options = std::move(options),
                                           .acceptor = tcp::acceptor(executor)}))
{
}

gate_server::~gate_server()
{
    state_->is_closed = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (const auto& weak_peer : state_->peers) {
        if (auto peer = weak_peer.lock()) {
            peer->close();
        }
    }
}

result<void> gate_server::start()
{
    auto& acceptor = state_->acceptor;
    const auto& listen = state_->options.listen;
    boost::system::error_code failed;
    acceptor.open(listen.protocol(), failed);
    if (!failed) {
        acceptor.set_option(net::socket_base::reuse_address(true), failed);
        acceptor.bind(listen, failed);
    }
    if (!failed) {
        acceptor.listen(net::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return fail(error_kind::unreachable,
                    "cannot listen at " + to_string(listen) + ": " + failed.message());
    }
    net::co_spawn(state_->executor, accept_peers(state_), net::detached);
    return success();
}

tcp::endpoint gate_server::local_endpoint() const
{
    boost::system::error_code ignored;
    return state_->acceptor.local_endpoint(ignored);
}

void gate_server::stop_accepting_statements()
{
    state_->is_stopping = true;
}

void gate_server::end_transactions()
{
    for (const auto& weak_peer : state_->peers) {
        if (auto peer = weak_peer.lock()) {
            end_transactions_if(*peer, [](const auto&) { return true; });
        }
    }
}

void gate_server::check(std::chrono::milliseconds idle_limit)
{
    // Records a suspension before it updates the time of the last check.
    state_->has_old_requests();
    state_->last_check = boottime_now();
    if (idle_limit.count() == 0) {
        return;
    }
    auto oldest = steady_clock::now() - idle_limit - idle_margin;
    for (const auto& weak_peer : state_->peers) {
        if (auto peer = weak_peer.lock()) {
            end_transactions_if(*peer, [&](const auto& transaction) {
                return transaction.last_used < oldest;
            });
        }
    }
}

std::size_t gate_server::statements() const
{
    return state_->statements;
}

std::size_t gate_server::transactions() const
{
    std::size_t count = 0;
    for (const auto& weak_peer : state_->peers) {
        if (auto peer = weak_peer.lock()) {
            count += peer->transactions.size();
        }
    }
    return count;
}

} // namespace papayabridge
