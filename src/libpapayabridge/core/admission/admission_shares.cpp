#include "core/admission/admission_shares.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

/// Inverse weight of a new measurement in the moving average.
constexpr int smoothing_divisor = 16;
/// Maximum credit of an idle rank and maximum debt of any rank, in statements per slot.
constexpr int max_credit_statements = 1;
constexpr int max_debt_statements = 4;
/// An item can meet its target while this many expected service times remain.
constexpr int target_margin_services = 3;

} // namespace

void shares_strategy::add_to_order(const admission_item& item)
{
    queues_[item.rank].add(item);
}

void shares_strategy::remove_from_order(const admission_item& item)
{
    queues_[item.rank].remove(item);
}

std::optional<std::uint64_t> shares_strategy::choose_next(const admission_load& load,
                                                          admission_time now)
{
    earn_credit(load, now);
    std::optional<rank> next;
    for (auto each : all_ranks) {
        if (queues_[each].empty()) {
            continue;
        }
        if (credit_[each] > time_span::zero()) {
            next = each;
            break;
        }
        if (!next) {
            next = each;
        }
    }
    if (!next) {
        return std::nullopt;
    }
    return queues_[*next].next_id(now, expected_[*next] * target_margin_services);
}

void shares_strategy::on_start(const admission_item& item)
{
    const auto expected = expected_[item.rank];
    credit_[item.rank] -= expected;
    charged_[item.id] = expected;
    queues_[item.rank].charge_start(item, expected);
}

void shares_strategy::finish(const admission_item& item, std::chrono::microseconds held,
                             const admission_load& load, admission_time now)
{
    earn_credit(load, now);
    const auto charged = charged_.extract(item.id);
    if (charged.empty()) {
        return;
    }
    const auto difference = held - charged.mapped();
    credit_[item.rank] -= difference;
    queues_[item.rank].charge_finish(item, difference);
    auto& expected = expected_[item.rank];
    if (expected == time_span::zero()) {
        expected = held;
    } else {
        expected += (held - expected) / smoothing_divisor;
    }
    clamp_credit(item.rank, load);
}

std::size_t shares_strategy::min_items_ahead(const admission_item& item) const
{
    return queues_[item.rank].min_items_ahead(item);
}

void shares_strategy::earn_credit(const admission_load& load, admission_time now)
{
    const auto since = earned_until_.value_or(now);
    earned_until_ = now;
    if (now <= since) {
        return;
    }
    unsigned running = 0;
    for (auto count : load.running) {
        running += count;
    }
    const auto used =
        std::chrono::duration_cast<time_span>(now - since) * static_cast<int>(running);
    for (auto each : all_ranks) {
        credit_[each] += used * static_cast<int>(load.ranks[each].share_percent) / 100;
        clamp_credit(each, load);
    }
}

void shares_strategy::clamp_credit(rank of, const admission_load& load)
{
    // The credit of an idle rank is limited so that it cannot crowd out the others when
    // it becomes active again. Debt is limited so that a rank does not have to pay back
    // slot time that no other rank wanted.
    const auto unit = max_expected() * static_cast<int>(load.slots);
    auto& credit = credit_[of];
    if (queues_[of].empty()) {
        credit = std::min(credit, unit * max_credit_statements);
    }
    credit = std::max(credit, -unit * max_debt_statements);
}

shares_strategy::time_span shares_strategy::max_expected() const
{
    return *std::max_element(expected_.begin(), expected_.end());
}

} // namespace papayabridge
