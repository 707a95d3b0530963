#include "caller_session.hpp"

#include "core/accounts/account_directory.hpp"

#include "net/tcp_options.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
// Shorter than the two seconds after which callers abandon an opening.
constexpr std::chrono::milliseconds configuration_wait{1700};
constexpr std::chrono::milliseconds configuration_poll{10};

} // namespace

caller_session::caller_session(tcp::socket socket, session_services& services,
                               session_registry& registry)
    : socket_(std::move(socket)), services_(services), registry_(registry),
      runner_(services, state_), idle_timer_(services.executor)
{
    registry_.add(this);
}

caller_session::~caller_session()
{
    registry_.remove(this);
}

void caller_session::start()
{
    net::co_spawn(
        services_.executor,
        [self = shared_from_this()]() -> net::awaitable<void> {
            co_await self->serve();
            self->end_transaction();
        },
        net::detached);
}

void caller_session::close()
{
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    idle_timer_.cancel();
}

const pooled_route* caller_session::route() const
{
    return services_.view->route(state_.database);
}

// A caller whose idle session is closed reconnects, usually to another entry.
void caller_session::log_close_reason() const
{
    if (state_.should_reconnect) {
        log_line(log_event::session_closed,
                 {{"database", state_.database.str()},
                  {"detail", "this entry has no usable primary for the database"}});
    }
}

// An entry that has just started does not know yet which databases exist, so a new
// session waits for the configuration for a limited time.
net::awaitable<bool> caller_session::wait_for_configuration()
{
    auto until = steady_clock::now() + configuration_wait;
    while (services_.view->configuration.version == config_version()) {
        if (steady_clock::now() >= until) {
            co_return false;
        }
        idle_timer_.expires_after(configuration_poll);
        co_await idle_timer_.async_wait(use_tuple);
    }
    co_return true;
}

// Sends the reason; the caller of this function then ends the connection.
net::awaitable<void> caller_session::refuse_session(const error& reason)
{
    log_line(log_event::session_refused,
             {{"database", state_.database.str()},
              {"version", log_number(services_.view->configuration.version.value())},
              {"kind", answer_of(reason.kind).name},
              {"detail", reason.detail}});
    services_.report.record_refused_session(reason.kind);
    release_input();
    std::string bytes;
    services_.caller_protocol.encode_refusal(bytes, reason);
    co_await write(std::move(bytes));
}

net::awaitable<bool> caller_session::open_session()
{
    auto first = co_await read_message();
    const auto* opening = first ? std::get_if<session_opening>(&first.value()) : nullptr;
    if (opening == nullptr) {
        if (first || first.error().kind != error_kind::unreachable) {
            auto reason =
                first ? fail(error_kind::bad_request, "expected an opening message")
                      : first.error();
            co_await refuse_session(reason);
        }
        co_return false;
    }
    state_.database = opening->database;
    state_.key = opening->key;
    if (!co_await wait_for_configuration()) {
        auto reason = fail(error_kind::overloaded, "no configuration is known yet");
        co_await refuse_session(reason);
        co_return false;
    }
    if (route() == nullptr) {
        auto reason = fail(error_kind::not_found, "no database " + state_.database.str());
        co_await refuse_session(reason);
        co_return false;
    }
    if (auto refused = authenticate(*route())) {
        co_await refuse_session(*refused);
        co_return false;
    }
    std::string bytes;
    services_.caller_protocol.encode_opened(bytes);
    is_open_ = true;
    co_return co_await write(std::move(bytes));
}

net::awaitable<void> caller_session::serve()
{
    set_liveness_options(socket_);
    bool is_open = co_await open_session();
    while (is_open) {
        bool should_close = registry_.close_when_idle || state_.should_reconnect;
        if (should_close && is_idle() && input_.empty()) {
            log_close_reason();
            break;
        }
        auto message = co_await read_message();
        if (!message) {
            if (message.error().kind != error_kind::unreachable) {
                co_await refuse_session(message.error());
            }
            break;
        }
        std::string bytes;
        if (const auto* stmt = std::get_if<statement>(&message.value())) {
            running_ = true;
            idle_timer_.cancel();
            statement_answer reply;
            auto refused = hold_statement(stmt->verb);
            if (refused) {
                reply = failed_answer(std::move(*refused));
            } else {
                reply = co_await answer(*stmt);
            }
            bytes = encode_reply(std::move(reply), stmt->verb);
            // A caller that does not read its answer must not keep its statement here.
            message.value() = session_closing{};
            release_statement();
            running_ = false;
            start_idle_timer();
        } else if (const auto* unknown = std::get_if<unknown_statement>(&message.value()))
        {
            services_.caller_protocol.encode_answer(bytes, refuse_unknown(*unknown));
        } else {
            break;
        }
        is_open = co_await write(std::move(bytes));
    }
    close();
}

statement_answer caller_session::refuse_unknown(const unknown_statement& unknown) const
{
    return failed_answer(fail(error_kind::bad_request, unknown.problem));
}

session_phase caller_session::phase() const
{
    if (!transaction_) {
        return session_phase::idle;
    }
    return transaction_->failed ? session_phase::failed : session_phase::in_transaction;
}

statement_answer caller_session::success_answer() const
{
    statement_answer answer;
    answer.phase = phase();
    return answer;
}

statement_answer caller_session::failed_answer(error reason) const
{
    auto answer = success_answer();
    answer.failure = std::move(reason);
    return answer;
}

// Dispatches on the verb. A failed transaction accepts only COMMIT and ROLLBACK.
net::awaitable<statement_answer> caller_session::answer(const statement& stmt)
{
    static constexpr std::array<statement_handler, 10> handlers{
        &caller_session::begin,     &caller_session::begin,
        &caller_session::commit,    &caller_session::roll_back,
        &caller_session::run,       &caller_session::run,
        &caller_session::set_value, &caller_session::prepare,
        &caller_session::run,       &caller_session::close_prepared,
    };
    bool ends =
        stmt.verb == statement_verb::commit || stmt.verb == statement_verb::rollback;
    if (transaction_ && transaction_->failed && !ends) {
        auto reason = transaction_->loss_reason.value_or(fail(
            error_kind::bad_request, "the transaction failed; send COMMIT or ROLLBACK"));
        transaction_->loss_reason.reset();
        co_return failed_answer(std::move(reason));
    }
    co_return co_await (this->*handlers[static_cast<std::size_t>(stmt.verb)])(stmt);
}

net::awaitable<statement_answer> caller_session::begin(const statement& stmt)
{
    if (transaction_) {
        co_return failed_answer(
            fail(error_kind::bad_request, "a transaction is already open"));
    }
    const auto* current_route = route();
    if (current_route == nullptr) {
        co_return failed_answer(
            fail(error_kind::not_found,
                 "database " + state_.database.str() + " no longer exists"));
    }
    transaction_.emplace();
    transaction_->route = *current_route;
    transaction_->read_only = stmt.verb == statement_verb::begin_read_only;
    co_return success_answer();
}

// A caller whose key is not known any more, or cannot be confirmed here, is told so and
// its session closed when it is idle.
std::optional<error> caller_session::authenticate(const pooled_route& used)
{
    directory_validity validity{.max_age = services_.max_key_age};
    if (services_.view_complete_at) {
        validity.age = boottime_now() - *services_.view_complete_at;
    }
    auto account =
        resolve_account(services_.view->configuration, used, state_.key, validity);
    if (!account) {
        state_.should_reconnect = true;
        return account.error();
    }
    state_.account = std::move(account.value());
    return std::nullopt;
}

net::awaitable<std::optional<error>> caller_session::authorize(const pooled_route& used)
{
    auto refused = authenticate(used);
    if (!refused && transaction_ && transaction_->is_admitted &&
        transaction_->account != state_.account)
    {
        refused = fail(error_kind::unauthorized,
                       "the access key belongs to another account now");
    }
    bool starts = !transaction_ || !transaction_->is_admitted;
    if (!refused && starts && services_.limiter != nullptr && !state_.account.empty()) {
        auto deadline = steady_clock::now() + used.target;
        auto decision = co_await services_.limiter->admit(state_.account, deadline);
        if (!decision.is_admitted) {
            refused = fail(error_kind::overloaded,
                           "account " + state_.account.str() +
                               " is at its limit; retry after " +
                               std::to_string(decision.retry_after.count()) + " ms");
        }
    }
    if (transaction_ && !refused) {
        transaction_->account = state_.account;
        transaction_->is_admitted = true;
    }
    if (transaction_ && refused) {
        // Rolls back what the member holds.
        transaction_->at_member.reset();
        transaction_->failed = true;
    }
    co_return refused;
}

net::awaitable<statement_answer> caller_session::commit(const statement& stmt)
{
    if (!transaction_) {
        co_return failed_answer(fail(error_kind::bad_request, "no transaction is open"));
    }
    if (transaction_->failed) {
        auto reason = transaction_->loss_reason.value_or(
            fail(error_kind::transaction_lost, "the transaction had failed"));
        end_transaction();
        co_return failed_answer(std::move(reason));
    }
    auto refused = co_await authorize(transaction_->route);
    if (refused) {
        end_transaction();
        co_return failed_answer(std::move(*refused));
    }
    auto answer = co_await runner_.run_in_transaction(stmt, *transaction_);
    end_transaction();
    answer.phase = session_phase::idle;
    co_return answer;
}

net::awaitable<statement_answer> caller_session::roll_back(const statement&)
{
    end_transaction();
    co_return success_answer();
}

net::awaitable<statement_answer> caller_session::run(const statement& stmt)
{
    if (stmt.verb == statement_verb::execute &&
        state_.values.prepared.count(stmt.name) == 0) {
        co_return failed_answer(
            fail(error_kind::bad_request, "no prepared statement is named " + stmt.name));
    }
    if (transaction_) {
        auto refused = co_await authorize(transaction_->route);
        if (refused) {
            co_return failed_answer(std::move(*refused));
        }
        co_return co_await runner_.run_in_transaction(stmt, *transaction_);
    }
    const auto* current_route = route();
    if (current_route == nullptr) {
        co_return failed_answer(
            fail(error_kind::not_found,
                 "database " + state_.database.str() + " no longer exists"));
    }
    auto route_copy = *current_route;
    auto refused = co_await authorize(route_copy);
    if (refused) {
        co_return failed_answer(std::move(*refused));
    }
    co_return co_await runner_.run_alone(stmt, route_copy);
}

void caller_session::end_transaction()
{
    idle_timer_.cancel();
    transaction_.reset();
}

// An idle transaction occupies one of the few connections to its member, so it is
// rolled back after the configured limit.
void caller_session::start_idle_timer()
{
    auto limit = services_.view->configuration.transaction_idle_limit;
    if (!transaction_ || !transaction_->at_member || limit.count() == 0) {
        return;
    }
    idle_timer_.expires_after(limit);
    idle_timer_.async_wait([weak_self =
                                weak_from_this()](boost::system::error_code cancelled) {
        auto self = weak_self.lock();
        if (cancelled || !self || self->running_ || !self->transaction_ ||
            !self->transaction_->at_member)
        {
            return;
        }
        auto& transaction = *self->transaction_;
        log_line(log_event::transaction_ended,
                 {{"database", self->state_.database.str()},
                  {"service", transaction.route.service.str()},
                  {"member", transaction.at_member->member().str()},
                  {"detail", "it was idle for too long"}});
        transaction.at_member.reset();
        transaction.failed = true;
        transaction.loss_reason =
            fail(error_kind::transaction_lost, "the transaction was idle for too long");
    });
}

} // namespace papayabridge
