/// \file admission_baselines.hpp
/// Baseline strategies for comparison: first come, first served, and strict priority.

#pragma once

#include "core/admission/admission_index.hpp"

namespace papayabridge {

/// First come, first served, regardless of rank.
class fifo_strategy : public indexed_strategy
{
public:
    std::size_t min_items_ahead(const admission_item& item) const override;

protected:
    void add_to_order(const admission_item& item) override;
    void remove_from_order(const admission_item& item) override;
    std::optional<std::uint64_t> choose_next(const admission_load& load,
                                             admission_time now) override;

private:
    std::set<std::pair<admission_time, std::uint64_t>> order_;
};

/// Strict priority by rank; order of arrival within a rank.
class strict_strategy : public indexed_strategy
{
public:
    std::size_t min_items_ahead(const admission_item& item) const override;

protected:
    void add_to_order(const admission_item& item) override;
    void remove_from_order(const admission_item& item) override;
    std::optional<std::uint64_t> choose_next(const admission_load& load,
                                             admission_time now) override;

private:
    by_rank<std::set<std::pair<admission_time, std::uint64_t>>> orders_;
};

} // namespace papayabridge
