/// \file admission_callers.hpp
/// The waiting items of one rank, with fair sharing of slot time between callers.

#pragma once

#include <map>
#include <papayabridge/admission.hpp>
#include <set>

namespace papayabridge {

/// Start-time fair queueing: each caller has a virtual time that advances with the slot
/// time it uses, and the waiting caller with the lowest is served next. The items of a
/// caller go in order of target while they can meet it, then in order of deadline; ties
/// go in order of arrival.
class caller_queue
{
public:
    void add(const admission_item& item);
    /// Removes waiting \p item.
    void remove(const admission_item& item);
    /// The id of the next item; nothing if none waits. An item whose target is less than
    /// \p margin away counts as late.
    std::optional<std::uint64_t> next_id(admission_time now,
                                         std::chrono::microseconds margin);
    /// Charges waiting \p item, which starts now, for the \p expected slot time. The
    /// caller must remove() it next.
    void charge_start(const admission_item& item, std::chrono::microseconds expected);
    /// Charges finished \p item for \p difference, the actual less the expected slot
    /// time.
    void charge_finish(const admission_item& item, std::chrono::microseconds difference);

    bool empty() const noexcept { return active_.empty(); }
    /// A lower bound of the number of items that would start before \p item.
    std::size_t min_items_ahead(const admission_item& item) const;

private:
    struct waiting_key
    {
        /// The target if the item can meet it, otherwise the deadline.
        admission_time due;
        admission_time arrived;
        std::uint64_t id;
        admission_time deadline;

        friend auto operator<=>(const waiting_key&, const waiting_key&) = default;
    };
    struct caller_state
    {
        std::chrono::microseconds virtual_time{0};
        std::size_t running = 0;
        std::set<waiting_key> on_time;
        std::set<waiting_key> late;

        bool idle() const noexcept { return on_time.empty() && late.empty(); }
    };
    using caller_table = std::map<caller_id, caller_state>;

    static waiting_key on_time_key(const admission_item& item);
    static waiting_key late_key(const admission_item& item);
    void advance_virtual_time(caller_table::iterator caller,
                              std::chrono::microseconds by);
    void erase_if_unused(caller_table::iterator caller);

    /// Callers with waiting or running items.
    caller_table callers_;
    /// Callers with waiting items, by virtual time.
    std::set<std::pair<std::chrono::microseconds, caller_id>> active_;
    /// Virtual time of the queue: that of the last caller served. A caller that becomes
    /// active starts no earlier.
    std::chrono::microseconds virtual_now_{0};
};

} // namespace papayabridge
