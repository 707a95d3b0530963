#include "core/admission/admission_baselines.hpp"
#include "core/admission/admission_shares.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace papayabridge {

namespace {

/// Inverse weight of a new measurement in the moving average.
constexpr int smoothing_divisor = 16;

template <class Strategy>
std::unique_ptr<admission_strategy> make_strategy()
{
    return std::make_unique<Strategy>();
}

struct named_strategy
{
    std::string_view name;
    std::unique_ptr<admission_strategy> (*make)();
};

constexpr std::array strategies{
    named_strategy{"shares", &make_strategy<shares_strategy>},
    named_strategy{"fifo", &make_strategy<fifo_strategy>},
    named_strategy{"strict", &make_strategy<strict_strategy>},
};

/// Time to serve \p count items of \p service time each on \p percent of \p slots.
std::chrono::microseconds drain_time(std::size_t count, std::chrono::microseconds service,
                                     unsigned slots, unsigned percent)
{
    const auto total = service * static_cast<std::int64_t>(count) * 100;
    return total / (static_cast<std::int64_t>(std::max(slots, 1U)) * percent);
}

} // namespace

std::unique_ptr<admission_strategy> make_admission_strategy(std::string_view name)
{
    for (const auto& row : strategies) {
        if (row.name == name) {
            return row.make();
        }
    }
    return strategies.front().make();
}

admission::admission(admission_options options)
    : options_(std::move(options)), strategy_(make_admission_strategy(options_.strategy))
{
    configure(options_);
}

void admission::configure(const admission_options& options)
{
    // The strategy is not replaced, because it holds the waiting items.
    options_.slots = options.slots;
    options_.ranks = options.ranks;
    load_.slots = options.slots;
    load_.ranks = options.ranks;
}

result<void> admission::submit(const admission_item& item, admission_time now)
{
    if (strategy_->waiting(item.rank) >= load_.ranks[item.rank].queue_limit) {
        return fail(error_kind::overloaded,
                    "queue of rank " + std::string(to_string(item.rank)) + " is full");
    }
    if (item.deadline <= now || now + min_wait(item) > item.deadline) {
        return fail(error_kind::deadline_unmeetable,
                    "would not start before its deadline");
    }
    strategy_->push(item);
    return success();
}

std::vector<std::uint64_t> admission::start(admission_time now)
{
    std::vector<std::uint64_t> ids;
    while (running() < load_.slots) {
        auto item = strategy_->pop(load_, now);
        if (!item) {
            break;
        }
        ++load_.running[item->rank];
        ids.push_back(item->id);
        started_.emplace(item->id, started_item{.item = *item, .started_at = now});
    }
    return ids;
}

void admission::finish(std::uint64_t id, admission_time now)
{
    const auto ended = started_.extract(id);
    if (ended.empty()) {
        return;
    }
    const auto& item = ended.mapped().item;
    const auto held = std::chrono::duration_cast<std::chrono::microseconds>(
        now - ended.mapped().started_at);
    strategy_->finish(item, held, load_, now);
    --load_.running[item.rank];
    auto& service = service_time_[item.rank];
    if (service == std::chrono::microseconds::zero()) {
        service = held;
    } else {
        service += (held - service) / smoothing_divisor;
    }
}

bool admission::withdraw(std::uint64_t id)
{
    return strategy_->remove(id);
}

std::vector<std::uint64_t> admission::expire(admission_time now)
{
    return strategy_->expire(now);
}

unsigned admission::running() const noexcept
{
    return static_cast<unsigned>(started_.size());
}

std::size_t admission::waiting() const
{
    std::size_t count = 0;
    for (auto each : all_ranks) {
        count += strategy_->waiting(each);
    }
    return count;
}

std::size_t admission::waiting(rank of) const
{
    return strategy_->waiting(of);
}

std::chrono::microseconds admission::expected_wait(rank of) const
{
    if (running() < load_.slots) {
        return std::chrono::microseconds::zero();
    }
    // Either behind all items that are at least as urgent, on all slots, or behind its
    // own rank on the guaranteed share of that rank; whichever is shorter.
    std::chrono::microseconds priority_wait{0};
    for (auto each : all_ranks) {
        if (each <= of) {
            const auto count = strategy_->waiting(each) + (each == of ? 1 : 0);
            priority_wait += drain_time(count, service_time_[each], load_.slots, 100);
        }
    }
    const auto share = load_.ranks[of].share_percent;
    if (share == 0) {
        return priority_wait;
    }
    const auto share_wait =
        drain_time(strategy_->waiting(of) + 1, service_time_[of], load_.slots, share);
    return std::min(priority_wait, share_wait);
}

std::chrono::microseconds admission::min_wait(const admission_item& item) const
{
    if (running() < load_.slots) {
        return std::chrono::microseconds::zero();
    }
    // Assumes all slots and the shortest known service time, so that no item that could
    // start in time is refused.
    auto shortest = std::chrono::microseconds::max();
    for (auto each : all_ranks) {
        if (strategy_->waiting(each) > 0) {
            shortest = std::min(shortest, service_time_[each]);
        }
    }
    if (shortest == std::chrono::microseconds::max()) {
        return std::chrono::microseconds::zero();
    }
    return drain_time(strategy_->min_items_ahead(item), shortest, load_.slots, 100);
}

} // namespace papayabridge
