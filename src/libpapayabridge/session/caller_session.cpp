#include "caller_session.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr std::size_t read_bytes = 1024;
// Input buffers larger than this are released once they are empty.
constexpr std::size_t buffer_kept = 4096;
// Callers give up an opening after two seconds.
constexpr std::chrono::milliseconds configuration_wait{1700};
constexpr std::chrono::milliseconds configuration_poll{10};
// Values and prepared names of one session, so that its memory is bounded.
constexpr std::size_t most_values = 256;

} // namespace

std::vector<std::shared_ptr<caller_session>> session_registry::all() const
{
    std::vector<std::shared_ptr<caller_session>> found;
    for (auto* session : sessions_) {
        found.push_back(session->shared_from_this());
    }
    return found;
}

caller_session::caller_session(tcp::socket socket, session_services& services,
                               session_registry& registry)
    : socket_(std::move(socket)), services_(services), registry_(registry),
      runner_(services, state_), idle_(services.executor)
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
    idle_.cancel();
}

const pooled_route* caller_session::route() const
{
    return services_.view->route(state_.database);
}

// A caller whose session was closed at rest opens another one, mostly at another entry.
void caller_session::note_leaving() const
{
    if (state_.is_better_elsewhere) {
        log_line(log_event::session_closed,
                 {{"database", state_.database.str()},
                  {"detail", "its primary cannot be used from here"}});
    }
}

net::awaitable<result<caller_message>> caller_session::next_message()
{
    while (true) {
        std::string_view rest = input_;
        auto message = services_.callers.decode(rest);
        if (!message) {
            co_return message.error();
        }
        if (message.value()) {
            auto found = std::move(*message.value());
            input_.erase(0, input_.size() - rest.size());
            co_return found;
        }
        if (input_.empty() && input_.capacity() > buffer_kept) {
            input_.shrink_to_fit();
        }
        std::array<char, read_bytes> piece{};
        auto [failed, count] =
            co_await socket_.async_read_some(net::buffer(piece), use_tuple);
        if (failed) {
            co_return fail(error_kind::unreachable, failed.message());
        }
        input_.append(piece.data(), count);
    }
}

net::awaitable<bool> caller_session::write(std::string bytes)
{
    auto [failed, count] =
        co_await net::async_write(socket_, net::buffer(bytes), use_tuple);
    co_return !failed;
}

// An entry that has just started does not know yet which databases there are.
net::awaitable<bool> caller_session::has_configuration()
{
    auto until = steady_clock::now() + configuration_wait;
    while (services_.view->configuration.version == config_version()) {
        if (steady_clock::now() >= until) {
            co_return false;
        }
        idle_.expires_after(configuration_poll);
        co_await idle_.async_wait(use_tuple);
    }
    co_return true;
}

// Says why, and lets the connection end.
net::awaitable<void> caller_session::refuse_session(const error& why)
{
    log_line(log_event::session_refused,
             {{"database", state_.database.str()},
              {"version", log_number(services_.view->configuration.version.value())},
              {"kind", answer_of(why.kind).name},
              {"detail", why.detail}});
    services_.report.session_refused(why.kind);
    std::string bytes;
    services_.callers.encode_refusal(bytes, why);
    co_await write(std::move(bytes));
}

net::awaitable<bool> caller_session::open()
{
    auto first = co_await next_message();
    const auto* opening = first ? std::get_if<session_opening>(&first.value()) : nullptr;
    if (opening == nullptr) {
        if (first || first.error().kind != error_kind::unreachable) {
            auto why = fail(error_kind::bad_request, "a session begins with its opening");
            co_await refuse_session(why);
        }
        co_return false;
    }
    state_.database = opening->database;
    if (!co_await has_configuration()) {
        auto why = fail(error_kind::overloaded, "no configuration is known yet");
        co_await refuse_session(why);
        co_return false;
    }
    if (route() == nullptr) {
        auto why = fail(error_kind::not_found, "no database " + state_.database.str());
        co_await refuse_session(why);
        co_return false;
    }
    std::string bytes;
    services_.callers.encode_opened(bytes);
    co_return co_await write(std::move(bytes));
}

net::awaitable<void> caller_session::serve()
{
    set_statement_options(socket_);
    bool open_session = co_await open();
    while (open_session) {
        bool leaves = registry_.closes_at_rest || state_.is_better_elsewhere;
        if (leaves && is_at_rest() && input_.empty()) {
            note_leaving();
            break;
        }
        auto message = co_await next_message();
        if (!message) {
            if (message.error().kind != error_kind::unreachable) {
                co_await refuse_session(message.error());
            }
            break;
        }
        std::string bytes;
        if (const auto* one = std::get_if<statement>(&message.value())) {
            running_ = true;
            idle_.cancel();
            auto told = co_await answer(*one);
            services_.callers.encode_answer(bytes, told);
            running_ = false;
            watch_idle_transaction();
        } else if (const auto* one = std::get_if<unknown_statement>(&message.value())) {
            services_.callers.encode_answer(bytes, refuse(*one));
        } else {
            break;
        }
        open_session = co_await write(std::move(bytes));
    }
    close();
}

statement_answer caller_session::refuse(const unknown_statement& one) const
{
    return failed(fail(error_kind::bad_request, one.problem));
}

session_phase caller_session::phase() const
{
    if (!transaction_) {
        return session_phase::idle;
    }
    return transaction_->failed ? session_phase::failed : session_phase::in_transaction;
}

statement_answer caller_session::done() const
{
    statement_answer answer;
    answer.phase = phase();
    return answer;
}

statement_answer caller_session::failed(error why) const
{
    auto answer = done();
    answer.failure = std::move(why);
    return answer;
}

// By verb; a failed transaction takes only its end.
net::awaitable<statement_answer> caller_session::answer(const statement& one)
{
    static constexpr std::array<step, 10> steps{
        &caller_session::begin,         &caller_session::begin,   &caller_session::commit,
        &caller_session::roll_back,     &caller_session::run,     &caller_session::run,
        &caller_session::set_value,     &caller_session::prepare, &caller_session::run,
        &caller_session::drop_prepared,
    };
    bool ends =
        one.verb == statement_verb::commit || one.verb == statement_verb::rollback;
    if (transaction_ && transaction_->failed && !ends) {
        auto why = transaction_->lost.value_or(
            fail(error_kind::bad_request, "the transaction failed; end it first"));
        transaction_->lost.reset();
        co_return failed(std::move(why));
    }
    co_return co_await (this->*steps[static_cast<std::size_t>(one.verb)])(one);
}

net::awaitable<statement_answer> caller_session::begin(const statement& one)
{
    if (transaction_) {
        co_return failed(fail(error_kind::bad_request, "a transaction is open already"));
    }
    const auto* by = route();
    if (by == nullptr) {
        co_return failed(fail(error_kind::not_found,
                              "no database " + state_.database.str() + " any more"));
    }
    transaction_.emplace();
    transaction_->route = *by;
    transaction_->read_only = one.verb == statement_verb::begin_read_only;
    co_return done();
}

net::awaitable<statement_answer> caller_session::commit(const statement& one)
{
    if (!transaction_) {
        co_return failed(fail(error_kind::bad_request, "no transaction is open"));
    }
    if (transaction_->failed) {
        auto why = transaction_->lost.value_or(
            fail(error_kind::transaction_lost, "the transaction had failed"));
        end_transaction();
        co_return failed(std::move(why));
    }
    auto answer = co_await runner_.run_within(one, *transaction_);
    end_transaction();
    answer.phase = session_phase::idle;
    co_return answer;
}

net::awaitable<statement_answer> caller_session::roll_back(const statement&)
{
    end_transaction();
    co_return done();
}

net::awaitable<statement_answer> caller_session::run(const statement& one)
{
    if (one.verb == statement_verb::execute &&
        state_.values.prepared.count(one.name) == 0) {
        co_return failed(
            fail(error_kind::bad_request, "nothing is prepared as " + one.name));
    }
    if (transaction_) {
        co_return co_await runner_.run_within(one, *transaction_);
    }
    const auto* by = route();
    if (by == nullptr) {
        co_return failed(fail(error_kind::not_found,
                              "no database " + state_.database.str() + " any more"));
    }
    auto rules = *by;
    co_return co_await runner_.run_single(one, rules);
}

net::awaitable<statement_answer> caller_session::set_value(const statement& one)
{
    auto& values = state_.values.values;
    if (values.count(one.name) == 0 && values.size() >= most_values) {
        co_return failed(fail(error_kind::bad_request, "too many session values"));
    }
    values[one.name] = one.value;
    co_return done();
}

net::awaitable<statement_answer> caller_session::prepare(const statement& one)
{
    auto& prepared = state_.values.prepared;
    if (prepared.count(one.name) == 0 && prepared.size() >= most_values) {
        co_return failed(fail(error_kind::bad_request, "too many prepared names"));
    }
    prepared[one.name] = one.prepared;
    co_return done();
}

net::awaitable<statement_answer> caller_session::drop_prepared(const statement& one)
{
    state_.values.prepared.erase(one.name);
    co_return done();
}

void caller_session::end_transaction()
{
    idle_.cancel();
    if (transaction_ && transaction_->connection) {
        recycle(services_, std::move(transaction_->connection), false);
    }
    transaction_.reset();
}

// An idle transaction holds one of the few connections to its member.
void caller_session::watch_idle_transaction()
{
    auto limit = services_.view->configuration.transaction_idle_limit;
    if (!transaction_ || !transaction_->connection || limit.count() == 0) {
        return;
    }
    idle_.expires_after(limit);
    idle_.async_wait([known = weak_from_this()](boost::system::error_code cancelled) {
        auto self = known.lock();
        if (cancelled || !self || self->running_ || !self->transaction_ ||
            !self->transaction_->connection)
        {
            return;
        }
        auto& transaction = *self->transaction_;
        log_line(log_event::transaction_ended,
                 {{"database", self->state_.database.str()},
                  {"service", transaction.route.service.str()},
                  {"member", transaction.connection.member().str()},
                  {"detail", "it was idle for too long"}});
        recycle(self->services_, std::move(transaction.connection), false);
        transaction.failed = true;
        transaction.lost =
            fail(error_kind::transaction_lost, "the transaction was idle for too long");
    });
}

} // namespace papayabridge
