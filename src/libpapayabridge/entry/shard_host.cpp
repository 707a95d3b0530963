#include "shard_host.hpp"

#include "run_on.hpp"

#include <boost/asio/post.hpp>

namespace papayabridge {

namespace {

bool has_gate(const database_record& record, const entry_id& self)
{
    return std::any_of(
        record.members.begin(), record.members.end(),
        [&self](const auto& member) { return member.second.gate == self; });
}

} // namespace

shard_host::shard_host(std::vector<net::io_context*> traffic,
                       const entry_settings& settings, event_log& events,
                       shard_hooks hooks)
    : self_(settings.id), strategy_(settings.admission), links_(settings.links),
      events_(&events), hooks_(std::move(hooks))
{
    for (auto* context : traffic) {
        auto thread = std::make_unique<thread_shards>();
        thread->context = context;
        threads_.push_back(std::move(thread));
    }
}

shard_host::thread_shards& shard_host::thread_for(const database_key& database)
{
    return *threads_[std::hash<database_key>()(database) % threads_.size()];
}

void shard_host::apply_record(thread_shards& thread, const database_record& record,
                              const service_settings& service)
{
    auto found = thread.shards.find(record.key);
    if (found == thread.shards.end()) {
        if (!has_gate(record, self_)) {
            return;
        }
        database_shard_options options;
        options.database = record.key;
        options.self = self_;
        options.links = links_;
        options.events = events_;
        options.strategy = strategy_;
        options.hooks = hooks_;
        auto shard =
            std::make_shared<database_shard>(thread.context->get_executor(), options);
        found = thread.shards.emplace(record.key, shard).first;
    }
    found->second->apply(record, service);
    if (!found->second->has_gates()) {
        found->second->close();
        thread.shards.erase(found);
    }
}

void shard_host::apply(std::shared_ptr<const fleet_view> view)
{
    for (const auto& thread : threads_) {
        net::post(*thread->context, [this, view, thread = thread.get()] {
            for (const auto& [key, record] : view->state.databases()) {
                if (&thread_for(key) == thread) {
                    apply_record(*thread, record, view->settings_for(key.service));
                }
            }
        });
    }
}

net::awaitable<result<gate_answer>> shard_host::execute(gate_request request)
{
    auto& thread = thread_for(request.database);
    auto run = [](thread_shards& owner,
                  gate_request statement) -> net::awaitable<result<gate_answer>> {
        auto found = owner.shards.find(statement.database);
        if (found == owner.shards.end()) {
            auto kind = statement.transaction.empty() ? error_kind::superseded
                                                      : error_kind::transaction_lost;
            co_return fail(kind, "this entry holds no gate of the database");
        }
        auto shard = found->second;
        auto answer = co_await shard->execute(std::move(statement));
        co_return answer;
    };
    auto current_executor = co_await net::this_coro::executor;
    if (current_executor == thread.context->get_executor()) {
        auto answer = co_await run(thread, std::move(request));
        co_return answer;
    }
    auto answer =
        co_await run_on(thread.context->get_executor(), run(thread, std::move(request)));
    co_return answer;
}

net::awaitable<bool> shard_host::release(database_key database, term next, bool force,
                                         time_point deadline)
{
    auto& thread = thread_for(database);
    auto run = [](thread_shards& owner, database_key key, term to, bool by_force,
                  time_point until) -> net::awaitable<bool> {
        auto found = owner.shards.find(key);
        if (found == owner.shards.end()) {
            co_return true;
        }
        auto shard = found->second;
        bool released = co_await shard->release(to, by_force, until);
        co_return released;
    };
    bool released = co_await net::co_spawn(*thread.context,
                                           run(thread, database, next, force, deadline),
                                           net::use_awaitable);
    co_return released;
}

net::awaitable<std::optional<primary_sample>>
shard_host::sample_primary(database_key database)
{
    auto& thread = thread_for(database);
    auto run = [](thread_shards& owner,
                  database_key key) -> net::awaitable<std::optional<primary_sample>> {
        auto found = owner.shards.find(key);
        std::optional<primary_sample> none;
        co_return found == owner.shards.end() ? none : found->second->sample_primary();
    };
    auto sample = co_await net::co_spawn(*thread.context, run(thread, database),
                                         net::use_awaitable);
    co_return sample;
}

void shard_host::add_sample(const database_key& database, time_point asked_at,
                            const primary_sample& sample)
{
    auto& thread = thread_for(database);
    net::post(*thread.context, [&thread, database, asked_at, sample] {
        auto found = thread.shards.find(database);
        if (found != thread.shards.end()) {
            found->second->add_sample(asked_at, sample);
        }
    });
}

net::awaitable<std::vector<database_key>> shard_host::databases_needing_samples()
{
    std::vector<database_key> all;
    for (const auto& thread : threads_) {
        auto run = [](thread_shards& owner) -> net::awaitable<std::vector<database_key>> {
            std::vector<database_key> needing;
            for (const auto& [key, shard] : owner.shards) {
                if (shard->needs_samples()) {
                    needing.push_back(key);
                }
            }
            co_return needing;
        };
        auto of_thread =
            co_await net::co_spawn(*thread->context, run(*thread), net::use_awaitable);
        all.insert(all.end(), of_thread.begin(), of_thread.end());
    }
    co_return all;
}

void shard_host::set_leaving(const database_key& database, const member_id& member)
{
    auto& thread = thread_for(database);
    net::post(*thread.context, [&thread, database, member] {
        auto found = thread.shards.find(database);
        if (found != thread.shards.end()) {
            found->second->set_leaving(member);
        }
    });
}

net::awaitable<shard_totals> shard_host::totals()
{
    shard_totals sum;
    for (const auto& thread : threads_) {
        auto run = [](thread_shards& owner) -> net::awaitable<shard_totals> {
            shard_totals thread_totals;
            for (const auto& [key, shard] : owner.shards) {
                ++thread_totals.databases;
                thread_totals.leases += shard->has_lease() ? 1 : 0;
                thread_totals.waiting += shard->waiting();
                thread_totals.running += shard->running();
            }
            co_return thread_totals;
        };
        auto thread_totals =
            co_await net::co_spawn(*thread->context, run(*thread), net::use_awaitable);
        sum.databases += thread_totals.databases;
        sum.leases += thread_totals.leases;
        sum.waiting += thread_totals.waiting;
        sum.running += thread_totals.running;
    }
    co_return sum;
}

net::awaitable<void> shard_host::close()
{
    for (const auto& thread : threads_) {
        auto run = [](thread_shards& owner) -> net::awaitable<void> {
            for (auto& [key, shard] : owner.shards) {
                shard->close();
            }
            owner.shards.clear();
            co_return;
        };
        co_await net::co_spawn(*thread->context, run(*thread), net::use_awaitable);
    }
}

} // namespace papayabridge
