#include "member_pool.hpp"

#include "core/connection_share.hpp"

#include <papayabridge/log.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// A new connection costs a slot's time and two round trips across regions.
constexpr std::chrono::milliseconds open_timeout{400};
// A member that could not be used is tried again after so long.
constexpr std::chrono::milliseconds avoid_for{150};
// A member that refused more connections is asked for one again after so long.
constexpr std::chrono::milliseconds full_for{250};
// An idle connection is closed after so long; a member forgets those of a machine without
// power after three seconds.
constexpr std::chrono::milliseconds unused_for{3000};

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
    drop();
    pool_ = other.pool_;
    connection_ = std::move(other.connection_);
    return *this;
}

pooled_connection::~pooled_connection()
{
    drop();
}

void pooled_connection::give_back()
{
    if (connection_) {
        pool_->returned(std::move(connection_));
    }
}

void pooled_connection::drop()
{
    if (connection_) {
        auto member = connection_->address().id;
        connection_.reset();
        pool_->dropped(member);
    }
}

member_pool::member_pool(net::any_io_executor executor, const member_codec& codec)
    : executor_(std::move(executor)), codec_(codec)
{
}

member_pool::slot* member_pool::find(const member_id& member)
{
    auto found = slots_.find(member);
    return found == slots_.end() ? nullptr : &found->second;
}

member_health& member_pool::health(const member_id& member)
{
    auto found = slots_.find(member);
    return found == slots_.end() ? unknown_ : found->second.health;
}

void member_pool::update(const std::shared_ptr<const pool_view>& view)
{
    std::set<member_id> present;
    for (const auto& [name, service] : view->services) {
        auto share = connection_share(service.limits.max_connections, view->entries);
        for (const auto& member : service.members) {
            present.insert(member.run.id);
            auto& one = slots_[member.run.id];
            if (one.run != member.run || one.address.endpoint != member.endpoint) {
                one.open -= static_cast<unsigned>(one.idle.size());
                one.idle.clear();
                one.health = {};
            }
            one.run = member.run;
            one.address = {
                .endpoint = member.endpoint, .service = name, .id = member.run.id};
            one.most = share;
            if (one.primary_changes != service.primary_changes) {
                one.primary_changes = service.primary_changes;
                one.health.denies_lead_until = {};
            }
            if (!member.leaving) {
                one.health.leaving_since.reset();
            } else if (!one.health.leaving_since) {
                one.health.leaving_since = steady_clock::now();
            }
            one.gone = false;
        }
    }
    for (auto one = slots_.begin(); one != slots_.end();) {
        if (present.count(one->first) != 0) {
            ++one;
            continue;
        }
        one->second.gone = true;
        one->second.open -= static_cast<unsigned>(one->second.idle.size());
        one->second.idle.clear();
        one = one->second.open == 0 ? slots_.erase(one) : std::next(one);
    }
    wake_all();
}

void member_pool::wake_all()
{
    for (auto* one : waiters_) {
        one->woken.cancel();
    }
}

bool member_pool::may_use(const slot& one, unsigned rank)
{
    auto in_use = one.open - static_cast<unsigned>(one.idle.size());
    return may_use_connection(one.most, in_use, rank);
}

// Why the member is not asked for a connection now.
std::optional<error> member_pool::obstacle(const slot& one,
                                           const connection_request& request)
{
    auto now = steady_clock::now();
    const auto& id = one.address.id.str();
    if (one.gone || now < one.health.avoid_until) {
        return fail(error_kind::unreachable, id + " is not usable");
    }
    if (request.needs_primary && now < one.health.denies_lead_until) {
        return fail(error_kind::superseded, id + " does not lead");
    }
    if (!may_use(one, request.rank)) {
        return fail(error_kind::overloaded, "all connections to " + id + " are in use");
    }
    return std::nullopt;
}

bool member_pool::denies_lead(const member_id& member)
{
    return steady_clock::now() < health(member).denies_lead_until;
}

std::unique_ptr<member_connection> member_pool::take_idle(slot& from,
                                                          const session_values& session)
{
    while (!from.idle.empty()) {
        auto fitting =
            std::find_if(from.idle.begin(), from.idle.end(), [&](const auto& one) {
                return session_values_match(one->contents, session);
            });
        // Else the one used last: its buffers are warm, and others may be closed.
        auto chosen = fitting == from.idle.end() ? std::prev(from.idle.end()) : fitting;
        auto connection = std::move(*chosen);
        from.idle.erase(chosen);
        if (connection->is_quiet()) {
            return connection;
        }
        --from.open;
    }
    return nullptr;
}

net::awaitable<result<pooled_connection>> member_pool::open(member_id member,
                                                            time_point deadline)
{
    auto* to = find(member);
    ++to->open;
    auto until = std::min(deadline, steady_clock::now() + open_timeout);
    auto opened = co_await member_connection::open(executor_, codec_, to->address, until);
    if (opened) {
        note_success(member, false);
        co_return pooled_connection(*this, std::move(opened.value()));
    }
    to = find(member);
    if (to != nullptr && opened.error().kind == error_kind::overloaded) {
        to->full_until = steady_clock::now() + full_for;
        log_line(log_event::member_full, {{"member", member.str()},
                                          {"open", log_number(to->open)},
                                          {"share", log_number(to->most)}});
    } else {
        note_failure(member, false);
    }
    dropped(member);
    co_return opened.error();
}

net::awaitable<result<pooled_connection>> member_pool::take(connection_request request)
{
    auto failure = fail(error_kind::overloaded, "no connection became free in time");
    for (const auto& member : request.members) {
        auto* one = find(member);
        auto now = steady_clock::now();
        if (one == nullptr) {
            failure = fail(error_kind::unreachable, member.str() + " is not known");
            continue;
        }
        if (auto why = obstacle(*one, request)) {
            failure = std::move(*why);
            continue;
        }
        auto idle = take_idle(*one, *request.session);
        if (idle) {
            co_return pooled_connection(*this, std::move(idle));
        }
        if (one->open >= one->most || now < one->full_until) {
            failure = fail(error_kind::overloaded,
                           "all connections to " + member.str() + " are in use");
            continue;
        }
        // A statement that may wait only a little still opens for those after it.
        auto opened = co_await open(member, now + open_timeout);
        if (opened) {
            co_return opened;
        }
        failure = opened.error();
    }
    if (steady_clock::now() < request.wait_until) {
        auto granted = co_await wait(request);
        if (granted) {
            co_return pooled_connection(*this, std::move(granted));
        }
    }
    co_return failure;
}

net::awaitable<std::unique_ptr<member_connection>>
member_pool::wait(const connection_request& request)
{
    auto until = request.wait_until;
    for (const auto& member : request.members) {
        auto* one = find(member);
        if (one != nullptr) {
            auto again = std::max(one->health.avoid_until, one->full_until);
            if (request.needs_primary) {
                again = std::max(again, one->health.denies_lead_until);
            }
            until = again > steady_clock::now() ? std::min(until, again) : until;
        }
    }
    waiter self(executor_);
    self.request = &request;
    self.woken.expires_at(until);
    auto place = waiters_.insert(waiters_.end(), &self);
    co_await self.woken.async_wait(net::as_tuple(net::use_awaitable));
    waiters_.erase(place);
    co_return std::move(self.granted);
}

std::list<member_pool::waiter*>::iterator
member_pool::best_waiter(const member_id& member)
{
    auto best = waiters_.end();
    for (auto one = waiters_.begin(); one != waiters_.end(); ++one) {
        const auto& wanted = (*one)->request->members;
        bool wants = std::find(wanted.begin(), wanted.end(), member) != wanted.end();
        bool free = !(*one)->granted;
        auto* from = find(member);
        bool may = from == nullptr || !obstacle(*from, *(*one)->request);
        if (wants && free && may &&
            (best == waiters_.end() || (*one)->request->rank < (*best)->request->rank))
        {
            best = one;
        }
    }
    return best;
}

void member_pool::returned(std::unique_ptr<member_connection> connection)
{
    const auto& member = connection->address().id;
    auto* one = find(member);
    bool usable = one != nullptr && !one->gone && one->open <= one->most &&
                  one->address.endpoint == connection->address().endpoint;
    if (!usable) {
        auto id = member;
        connection.reset();
        dropped(id);
        return;
    }
    connection->idle_since = steady_clock::now();
    one->idle.push_back(std::move(connection));
    auto next = best_waiter(member);
    if (next != waiters_.end()) {
        (*next)->granted = std::move(one->idle.back());
        one->idle.pop_back();
        (*next)->woken.cancel();
    }
}

void member_pool::dropped(const member_id& member)
{
    auto found = slots_.find(member);
    if (found == slots_.end()) {
        return;
    }
    auto& one = found->second;
    one.open -= one.open > 0 ? 1 : 0;
    if (one.gone && one.open == 0) {
        slots_.erase(found);
        return;
    }
    auto next = best_waiter(member);
    if (next != waiters_.end()) {
        (*next)->woken.cancel();
    }
}

void member_pool::note_success(const member_id& member, bool wrote)
{
    auto* one = find(member);
    if (one != nullptr) {
        if (one->health.failing_since) {
            auto failed_for = steady_clock::now() - *one->health.failing_since;
            log_line(log_event::member_usable,
                     {{"member", member.str()}, {"after_us", log_us(failed_for)}});
        }
        one->health.failing_since.reset();
        one->health.avoid_until = {};
        if (wrote) {
            one->health.writes_failing_since.reset();
        }
    }
}

void member_pool::note_failure(const member_id& member, bool wrote)
{
    auto* one = find(member);
    if (one == nullptr) {
        return;
    }
    auto now = steady_clock::now();
    auto& health = one->health;
    if (!health.failing_since) {
        log_line(log_event::member_avoided,
                 {{"member", member.str()}, {"wrote", wrote ? "true" : "false"}});
    }
    health.last_failure = now;
    health.failing_since = health.failing_since.value_or(now);
    health.avoid_until = now + avoid_for;
    if (wrote) {
        health.writes_failing_since = health.writes_failing_since.value_or(now);
    }
}

// What an entry keeps open without need is missing where another one starts while the
// member still counts the connections of its last run.
void member_pool::close_unused()
{
    auto limit = steady_clock::now() - unused_for;
    for (auto& [id, one] : slots_) {
        while (!one.idle.empty() && one.idle.front()->idle_since < limit) {
            one.idle.erase(one.idle.begin());
            --one.open;
        }
    }
}

std::size_t member_pool::open_connections() const
{
    std::size_t count = 0;
    for (const auto& [id, one] : slots_) {
        count += one.open;
    }
    return count;
}

} // namespace papayabridge
