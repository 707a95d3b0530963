#include "core/admission_baselines.hpp"
#include "core/admission_shares.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace papayabridge {

namespace {

/// A new measurement weighs one part in so many.
constexpr int smoothing = 16;

template <class Strategy>
std::unique_ptr<admission_strategy> make()
{
    return std::make_unique<Strategy>();
}

struct strategy_row
{
    std::string_view name;
    std::unique_ptr<admission_strategy> (*make)();
};

constexpr std::array strategies{
    strategy_row{"shares", &make<shares_strategy>},
    strategy_row{"fifo", &make<fifo_strategy>},
    strategy_row{"strict", &make<strict_strategy>},
};

/// The time that \p count items of \p service each take on \p percent of \p slots.
std::chrono::microseconds drain_time(std::size_t count, std::chrono::microseconds service,
                                     unsigned slots, unsigned percent)
{
    const auto whole = service * static_cast<std::int64_t>(count) * 100;
    return whole / (static_cast<std::int64_t>(std::max(slots, 1U)) * percent);
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
    // The strategy keeps the waiting items, so it stays for the member's lifetime.
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
    if (item.deadline <= now || now + least_wait(item) > item.deadline) {
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
        started_.emplace(item->id, started_item{.item = *item, .at = now});
    }
    return ids;
}

void admission::finish(std::uint64_t id, admission_time now)
{
    const auto done = started_.extract(id);
    if (done.empty()) {
        return;
    }
    const auto& item = done.mapped().item;
    const auto held =
        std::chrono::duration_cast<std::chrono::microseconds>(now - done.mapped().at);
    strategy_->finished(item, held, load_, now);
    --load_.running[item.rank];
    auto& service = service_time_[item.rank];
    if (service == std::chrono::microseconds::zero()) {
        service = held;
    } else {
        service += (held - service) / smoothing;
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
    // Behind all that is as urgent, or behind its own rank on its share: the shorter.
    std::chrono::microseconds in_order{0};
    for (auto each : all_ranks) {
        if (each <= of) {
            const auto count = strategy_->waiting(each) + (each == of ? 1 : 0);
            in_order += drain_time(count, service_time_[each], load_.slots, 100);
        }
    }
    const auto share = load_.ranks[of].share_percent;
    if (share == 0) {
        return in_order;
    }
    const auto on_share =
        drain_time(strategy_->waiting(of) + 1, service_time_[of], load_.slots, share);
    return std::min(in_order, on_share);
}

std::chrono::microseconds admission::least_wait(const admission_item& item) const
{
    if (running() < load_.slots) {
        return std::chrono::microseconds::zero();
    }
    // All slots at the shortest known service: an item that could start is not refused.
    auto shortest = std::chrono::microseconds::max();
    for (auto each : all_ranks) {
        if (strategy_->waiting(each) > 0) {
            shortest = std::min(shortest, service_time_[each]);
        }
    }
    if (shortest == std::chrono::microseconds::max()) {
        return std::chrono::microseconds::zero();
    }
    return drain_time(strategy_->ahead(item), shortest, load_.slots, 100);
}

} // namespace papayabridge
