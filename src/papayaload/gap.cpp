#include "gap.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds idle_poll{20};

std::int64_t wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return duration_cast<milliseconds>(now).count();
}

} // namespace

gap_runner::gap_runner(net::io_context& context, const experiment& settings)
    : context_(context), settings_(settings), client_(settings.links)
{
    for (const auto& name : settings.databases) {
        writers_.push_back({.database = name});
    }
}

net::awaitable<Json::Value> gap_runner::run()
{
    const auto start = steady_clock::now();
    const auto end = start + settings_.gap.length;
    for (auto& each : writers_) {
        each.last_acknowledged = start;
    }
    net::steady_timer timer(context_);
    std::uint64_t count = 0;
    for (auto next = start; next < end; next += settings_.gap.interval) {
        timer.expires_at(next);
        co_await timer.async_wait(net::use_awaitable);
        for (std::size_t i = 0; i < writers_.size(); ++i) {
            net::co_spawn(context_, write(i, count), net::detached);
        }
        ++count;
    }
    while (in_progress_ > 0) {
        timer.expires_after(idle_poll);
        co_await timer.async_wait(net::use_awaitable);
    }
    Json::Value results(Json::objectValue);
    for (const auto& each : writers_) {
        Json::Value row(Json::objectValue);
        row["longest_gap_ms"] =
            duration_cast<std::chrono::duration<double, std::milli>>(each.longest_gap)
                .count();
        row["gap_began_ms"] = Json::Int64(each.gap_began_ms);
        row["sent"] = Json::UInt64(each.sent);
        row["acknowledged"] = Json::UInt64(each.acknowledged);
        row["unknown"] = Json::UInt64(each.unknown);
        row["refused"] = Json::Value(Json::objectValue);
        for (const auto& [kind, refused] : each.refused) {
            row["refused"][kind] = Json::UInt64(refused);
        }
        results[each.database.str()] = row;
    }
    co_return results;
}

net::awaitable<void> gap_runner::write(std::size_t number, std::uint64_t count)
{
    auto& by = writers_[number];
    ++by.sent;
    ++in_progress_;
    load_request request;
    request.service = settings_.service;
    request.database = by.database;
    request.write = true;
    request.rank = rank::urgent;
    request.caller = caller_id("gap");
    request.key = "gap-" + std::to_string(settings_.seed) + "-" + std::to_string(count);
    request.statements.push_back("put gap " + std::to_string(count));
    request.deadline = settings_.gap.deadline;
    const auto entry = settings_.entries[count % settings_.entries.size()];
    const auto answer = co_await client_.call(entry, request);
    --in_progress_;
    if (answer.served) {
        acknowledged(by, steady_clock::now());
    } else if (answer.ran == ran_state::no) {
        ++by.refused[answer.error];
    } else {
        ++by.unknown;
    }
}

void gap_runner::acknowledged(writer& by, time_point now)
{
    ++by.acknowledged;
    const auto gap = duration_cast<microseconds>(now - by.last_acknowledged);
    if (gap > by.longest_gap && by.acknowledged > 1) {
        by.longest_gap = gap;
        by.gap_began_ms = wall_clock_ms() - duration_cast<milliseconds>(gap).count();
    }
    by.last_acknowledged = now;
}

} // namespace papayabridge
