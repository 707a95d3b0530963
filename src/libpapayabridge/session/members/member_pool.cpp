#include "member_pool.hpp"

#include "core/routing/connection_share.hpp"

#include <papayabridge/log.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// Covers a slot's time and two round trips across regions.
constexpr std::chrono::milliseconds open_timeout{400};
// How long a member is avoided after a failure.
constexpr std::chrono::milliseconds avoid_time{150};
// How long no connection is opened to a member that refused one.
constexpr std::chrono::milliseconds full_retry_time{250};
// How long a connection may stay idle. A member drops the connections of a machine
// without power after three seconds.
constexpr std::chrono::milliseconds max_idle_time{3000};
// A connection with more session values and prepared shapes is not kept. 256 values of
// some hundred bytes are below this; 70 such connections to a member hold 35 MB.
constexpr std::size_t max_idle_contents_bytes = 512 * 1024;

} // namespace

pooled_connection::pooled_connection(member_pool& pool,
                                     std::unique_ptr<member_connection> connection)
    : pool_(&pool), connection_(std::move(connection))
{
}

pooled_connection::pooled_connection(pooled_connection&& other) noexcept
    : pool_(other.pool_), connection_(std::move(other.connection_))
{
}

pooled_connection& pooled_connection::operator=(pooled_connection&& other) noexcept
{
    close();
    pool_ = other.pool_;
    connection_ = std::move(other.connection_);
    return *this;
}

pooled_connection::~pooled_connection()
{
    close();
}

void pooled_connection::release()
{
    if (connection_) {
        pool_->on_released(std::move(connection_));
    }
}

void pooled_connection::close()
{
    if (connection_) {
        auto member = connection_->address().id;
        connection_.reset();
        pool_->on_closed(member);
    }
}

member_pool::member_pool(net::any_io_executor executor, const member_codec& codec)
    : executor_(std::move(executor)), codec_(codec)
{
}

member_pool::member_state* member_pool::find_member(const member_id& member)
{
    auto found = members_.find(member);
    return found == members_.end() ? nullptr : &found->second;
}

member_health& member_pool::health(const member_id& member)
{
    auto found = members_.find(member);
    return found == members_.end() ? unknown_member_ : found->second.health;
}

void member_pool::update(const std::shared_ptr<const pool_view>& view)
{
    std::set<member_id> present;
    for (const auto& [name, service] : view->services) {
        auto share = connection_share(service.limits.max_connections, view->entries);
        for (const auto& member : service.members) {
            present.insert(member.run.id);
            auto& state = members_[member.run.id];
            if (state.run != member.run || state.address.endpoint != member.endpoint) {
                state.open_count -= static_cast<unsigned>(state.idle.size());
                state.idle.clear();
                state.health = {};
            }
            state.run = member.run;
            state.address = {
                .endpoint = member.endpoint, .service = name, .id = member.run.id};
            state.max_open = service.through_gates ? member.gate.connections : share;
            if (state.primary_changes != service.primary_changes) {
                state.primary_changes = service.primary_changes;
                state.health.denies_primary_until = {};
            }
            state.health.leaving.record(member.leaving, view->current_before);
            state.is_removed = false;
        }
    }
    for (auto known = members_.begin(); known != members_.end();) {
        if (present.count(known->first) != 0) {
            ++known;
            continue;
        }
        known->second.is_removed = true;
        known->second.open_count -= static_cast<unsigned>(known->second.idle.size());
        known->second.idle.clear();
        known = known->second.open_count == 0 ? members_.erase(known) : std::next(known);
    }
    wake_waiters();
}

void member_pool::wake_waiters()
{
    for (auto* waiting : waiters_) {
        waiting->wakeup.cancel();
    }
}

bool member_pool::has_share_for(const member_state& state, unsigned rank)
{
    auto in_use = state.open_count - static_cast<unsigned>(state.idle.size());
    return may_use_connection(state.max_open, in_use, rank);
}

std::optional<error> member_pool::find_obstacle(const member_state& state,
                                                bool needs_primary)
{
    auto now = steady_clock::now();
    const auto& id = state.address.id.str();
    if (state.is_removed || now < state.health.avoid_until) {
        return fail(error_kind::unreachable, id + " is not usable");
    }
    if (needs_primary && now < state.health.denies_primary_until) {
        return fail(error_kind::superseded, id + " does not lead");
    }
    return std::nullopt;
}

std::optional<error> member_pool::find_obstacle(const member_id& member,
                                                bool needs_primary)
{
    auto* state = find_member(member);
    if (state == nullptr) {
        return fail(error_kind::unreachable, member.str() + " is not known");
    }
    return find_obstacle(*state, needs_primary);
}

// The reason why the member cannot serve the request now; empty if it can.
std::optional<error> member_pool::find_obstacle(const member_state& state,
                                                const connection_request& request)
{
    auto obstacle = find_obstacle(state, request.needs_primary);
    if (!obstacle && !has_share_for(state, request.rank)) {
        return fail(error_kind::overloaded,
                    "all connections to " + state.address.id.str() + " are in use");
    }
    return obstacle;
}

bool member_pool::denies_primary_role(const member_id& member)
{
    return steady_clock::now() < health(member).denies_primary_until;
}

bool member_pool::has_room(const member_state& state)
{
    return state.open_count < state.max_open && steady_clock::now() >= state.full_until;
}

connection_choice member_pool::choose(const member_state& state,
                                      const connection_request& request, bool can_open)
{
    std::vector<idle_connection> idle;
    idle.reserve(state.idle.size());
    for (const auto& connection : state.idle) {
        idle.push_back({.account = connection->address().account,
                        .matches_session = session_values_match(connection->contents,
                                                                *request.session)});
    }
    return choose_connection(idle, request.account, can_open);
}

std::unique_ptr<member_connection>
member_pool::take_idle(member_state& state, const connection_request& request)
{
    using enum connection_choice::action;
    while (true) {
        auto choice = choose(state, request, has_room(state));
        if (choice.what == open || choice.what == wait) {
            return nullptr;
        }
        auto at = state.idle.begin() + static_cast<std::ptrdiff_t>(choice.index);
        auto connection = std::move(*at);
        state.idle.erase(at);
        if (choice.what == use && connection->is_reusable()) {
            return connection;
        }
        --state.open_count;
    }
}

net::awaitable<result<pooled_connection>>
member_pool::open(member_id member, std::optional<account_name> account,
                  time_point deadline)
{
    auto* state = find_member(member);
    auto until = std::min(deadline, steady_clock::now() + open_timeout);
    auto address = state->address;
    address.account = account.value_or(account_name());
    auto opened =
        co_await member_connection::open(executor_, codec_, std::move(address), until);
    if (opened) {
        record_success(member, false);
        co_return pooled_connection(*this, std::move(opened.value()));
    }
    state = find_member(member);
    if (state != nullptr && opened.error().kind == error_kind::overloaded) {
        state->full_until = steady_clock::now() + full_retry_time;
        log_line(log_event::member_full, {{"member", member.str()},
                                          {"open", log_number(state->open_count)},
                                          {"share", log_number(state->max_open)}});
    } else {
        record_failure(member, false);
    }
    on_closed(member);
    co_return opened.error();
}

net::awaitable<result<pooled_connection>> member_pool::acquire(connection_request request)
{
    auto failure = fail(error_kind::overloaded, "no connection became free in time");
    for (const auto& member : request.members) {
        auto* state = find_member(member);
        auto now = steady_clock::now();
        if (state == nullptr) {
            failure = fail(error_kind::unreachable, member.str() + " is not known");
            continue;
        }
        if (auto obstacle = find_obstacle(*state, request)) {
            failure = std::move(*obstacle);
            continue;
        }
        auto idle = take_idle(*state, request);
        if (idle) {
            co_return pooled_connection(*this, std::move(idle));
        }
        if (!has_room(*state)) {
            failure = fail(error_kind::overloaded,
                           "all connections to " + member.str() + " are in use");
            continue;
        }
        // The whole timeout applies even if this statement may wait only briefly,
        // because later statements can use the connection.
        ++state->open_count;
        auto opened = co_await open(member, request.account, now + open_timeout);
        if (opened) {
            co_return opened;
        }
        failure = opened.error();
    }
    if (steady_clock::now() < request.wait_until) {
        auto granted = co_await wait_for_connection(request, failure);
        co_return granted;
    }
    co_return failure;
}

net::awaitable<result<pooled_connection>>
member_pool::wait_for_connection(const connection_request& request, error failure)
{
    auto until = request.wait_until;
    for (const auto& member : request.members) {
        auto* state = find_member(member);
        if (state != nullptr) {
            auto retry_at = std::max(state->health.avoid_until, state->full_until);
            if (request.needs_primary) {
                retry_at = std::max(retry_at, state->health.denies_primary_until);
            }
            until = retry_at > steady_clock::now() ? std::min(until, retry_at) : until;
        }
    }
    waiter self(executor_);
    self.request = &request;
    self.wakeup.expires_at(until);
    auto queued = waiters_.insert(waiters_.end(), &self);
    co_await self.wakeup.async_wait(net::as_tuple(net::use_awaitable));
    waiters_.erase(queued);
    if (self.granted) {
        co_return pooled_connection(*this, std::move(self.granted));
    }
    if (self.may_open) {
        auto opened = co_await open(*self.may_open, request.account,
                                    steady_clock::now() + open_timeout);
        co_return opened;
    }
    co_return failure;
}

std::list<member_pool::waiter*>::iterator
member_pool::best_waiter(const member_id& member,
                         const std::optional<account_name>& account)
{
    auto best = waiters_.end();
    for (auto waiting = waiters_.begin(); waiting != waiters_.end(); ++waiting) {
        const auto& wanted = (*waiting)->request->members;
        bool is_acceptable =
            std::find(wanted.begin(), wanted.end(), member) != wanted.end();
        const auto& wants = (*waiting)->request->account;
        bool is_waiting = !(*waiting)->granted && !(*waiting)->may_open;
        bool is_served = !account || !wants || *wants == *account;
        auto* state = find_member(member);
        bool is_allowed =
            state == nullptr || !find_obstacle(*state, *(*waiting)->request);
        if (is_acceptable && is_waiting && is_allowed && is_served &&
            (best == waiters_.end() ||
             (*waiting)->request->rank < (*best)->request->rank))
        {
            best = waiting;
        }
    }
    return best;
}

void member_pool::on_released(std::unique_ptr<member_connection> connection)
{
    const auto& member = connection->address().id;
    auto* state = find_member(member);
    bool usable = state != nullptr && !state->is_removed &&
                  state->open_count <= state->max_open &&
                  state->address.endpoint == connection->address().endpoint;
    if (!usable) {
        auto id = member;
        connection.reset();
        on_closed(id);
        return;
    }
    auto account = connection->address().account;
    connection->idle_since = steady_clock::now();
    state->idle.push_back(std::move(connection));
    auto next = best_waiter(state->address.id, account);
    if (next != waiters_.end()) {
        (*next)->granted = std::move(state->idle.back());
        state->idle.pop_back();
        (*next)->wakeup.cancel();
        return;
    }
    const auto& kept = state->idle.back()->contents;
    if (kept.value_bytes + kept.shape_bytes > max_idle_contents_bytes) {
        auto id = state->address.id;
        state->idle.pop_back();
        on_closed(id);
        return;
    }
    pass_on_room(state->address.id, *state);
}

// Statements of other accounts cannot use what is idle. The connection that has rested
// longest makes room for the best of them.
void member_pool::pass_on_room(const member_id& member, member_state& state)
{
    auto next = best_waiter(member, std::nullopt);
    bool can_open = steady_clock::now() >= state.full_until &&
                    (has_room(state) || !state.idle.empty());
    if (next == waiters_.end() || !can_open) {
        return;
    }
    if (!has_room(state)) {
        state.idle.erase(state.idle.begin());
        --state.open_count;
    }
    ++state.open_count;
    (*next)->may_open = member;
    (*next)->wakeup.cancel();
}

void member_pool::on_closed(const member_id& member)
{
    auto found = members_.find(member);
    if (found == members_.end()) {
        return;
    }
    auto& state = found->second;
    state.open_count -= state.open_count > 0 ? 1 : 0;
    if (state.is_removed && state.open_count == 0) {
        members_.erase(found);
        return;
    }
    auto next = best_waiter(member, std::nullopt);
    if (next != waiters_.end()) {
        (*next)->wakeup.cancel();
    }
}

void member_pool::record_success(const member_id& member, bool wrote)
{
    auto* state = find_member(member);
    if (state != nullptr) {
        if (state->health.failing_since) {
            auto failed_for = steady_clock::now() - *state->health.failing_since;
            log_line(log_event::member_usable,
                     {{"member", member.str()}, {"after_us", log_us(failed_for)}});
        }
        state->health.failing_since.reset();
        state->health.avoid_until = {};
        if (wrote) {
            state->health.writes_failing_since.reset();
        }
    }
}

void member_pool::record_failure(const member_id& member, bool wrote)
{
    auto* state = find_member(member);
    if (state == nullptr) {
        return;
    }
    auto now = steady_clock::now();
    auto& health = state->health;
    if (!health.failing_since) {
        log_line(log_event::member_avoided,
                 {{"member", member.str()}, {"wrote", wrote ? "true" : "false"}});
    }
    health.last_failure = now;
    health.failing_since = health.failing_since.value_or(now);
    health.avoid_until = now + avoid_time;
    if (wrote) {
        health.writes_failing_since = health.writes_failing_since.value_or(now);
    }
}

// Closes connections that this entry keeps open without need. They would be missing where
// another entry starts while the member still counts the connections of that entry's
// previous run.
void member_pool::close_unused()
{
    auto limit = steady_clock::now() - max_idle_time;
    for (auto& [id, state] : members_) {
        while (!state.idle.empty() && state.idle.front()->idle_since < limit) {
            state.idle.erase(state.idle.begin());
            --state.open_count;
        }
    }
}

std::size_t member_pool::open_connections() const
{
    std::size_t count = 0;
    for (const auto& [id, state] : members_) {
        count += state.open_count;
    }
    return count;
}

} // namespace papayabridge
