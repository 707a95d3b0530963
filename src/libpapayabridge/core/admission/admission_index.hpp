/// \file admission_index.hpp
/// Base of the strategies: the waiting items of one member by id and by deadline.

#pragma once

#include <papayabridge/admission.hpp>
#include <set>
#include <unordered_map>

namespace papayabridge {

/// Holds the waiting items; the derived class defines their order. Every operation is at
/// most logarithmic in the number of waiting items.
class indexed_strategy : public admission_strategy
{
public:
    void push(const admission_item& item) override;
    std::optional<admission_item> pop(const admission_load& load,
                                      admission_time now) override;
    bool remove(std::uint64_t id) override;
    std::size_t waiting(rank of) const override { return waiting_[of]; }
    std::vector<std::uint64_t> expire(admission_time now) override;

protected:
    /// Adds \p item to the order.
    virtual void add_to_order(const admission_item& item) = 0;
    /// Removes \p item from the order.
    virtual void remove_from_order(const admission_item& item) = 0;
    /// The id of the next item; nothing if none waits.
    virtual std::optional<std::uint64_t> choose_next(const admission_load& load,
                                                     admission_time now) = 0;
    /// Called before chosen \p item is removed and starts.
    virtual void on_start(const admission_item& item);

private:
    admission_item extract(std::uint64_t id);

    std::unordered_map<std::uint64_t, admission_item> items_;
    std::set<std::pair<admission_time, std::uint64_t>> deadlines_;
    by_rank<std::size_t> waiting_;
};

} // namespace papayabridge
