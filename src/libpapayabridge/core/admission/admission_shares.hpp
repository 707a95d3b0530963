/// \file admission_shares.hpp
/// The default strategy: the most urgent rank first, with a guaranteed share of the slot
/// time for every rank.

#pragma once

#include "core/admission/admission_callers.hpp"
#include "core/admission/admission_index.hpp"

namespace papayabridge {

/// Each rank has a credit of slot time. It earns its share of all slot time used and pays
/// for the slot time that it uses: the expected time when an item starts, the difference
/// when it finishes. The most urgent waiting rank with positive credit goes first; if
/// none has credit, the most urgent waiting rank.
class shares_strategy : public indexed_strategy
{
public:
    void finish(const admission_item& item, std::chrono::microseconds held,
                const admission_load& load, admission_time now) override;
    std::size_t min_items_ahead(const admission_item& item) const override;

protected:
    void add_to_order(const admission_item& item) override;
    void remove_from_order(const admission_item& item) override;
    std::optional<std::uint64_t> choose_next(const admission_load& load,
                                             admission_time now) override;
    void on_start(const admission_item& item) override;

private:
    using time_span = std::chrono::microseconds;

    void earn_credit(const admission_load& load, admission_time now);
    void clamp_credit(rank of, const admission_load& load);
    time_span max_expected() const;

    by_rank<caller_queue> queues_;
    /// Slot time owed to each rank; negative if it used more than its share.
    by_rank<time_span> credit_;
    /// Moving average of the time that an item of each rank holds a slot.
    by_rank<time_span> expected_;
    /// Slot time charged for each running item when it started.
    std::unordered_map<std::uint64_t, time_span> charged_;
    /// Time up to which the ranks have earned credit.
    std::optional<admission_time> earned_until_;
};

} // namespace papayabridge
