/// \file admission.hpp
/// Admission control for one member: decides which queued statement runs next. Does no
/// I/O.
///
/// The owner submits items, asks which may start and reports when they finish. The order
/// is pluggable: "shares" guarantees each rank a share of the slots; "fifo" and "strict"
/// (strict priority) are baselines for comparison.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <papayabridge/rank.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace papayabridge {

using admission_time = std::chrono::steady_clock::time_point;

/// A statement that waits for a slot.
struct admission_item
{
    /// Unique at this member.
    std::uint64_t id = 0;
    papayabridge::rank rank = rank::normal;
    caller_id caller;
    admission_time arrived;
    admission_time deadline;
    /// Answers up to this time count as within target. Items that can still meet their
    /// target start before items that cannot. The clock's epoch means no target.
    admission_time target{};
};

/// Guaranteed share and queue limit of one rank.
struct admission_rank_limits
{
    /// Guaranteed share of the slots under any load of the other ranks, in percent.
    unsigned share_percent = 0;
    /// Maximum number of waiting items.
    std::size_t queue_limit = 1000;
};

/// Slots and running items of the member, as input to a strategy.
struct admission_load
{
    unsigned slots = 1;
    by_rank<unsigned> running;
    by_rank<admission_rank_limits> ranks;
};

/// Holds the waiting items and decides their order.
class admission_strategy
{
public:
    virtual ~admission_strategy() = default;

    virtual void push(const admission_item& item) = 0;
    /// Removes and returns the next item to run; nothing if none may run under \p load.
    virtual std::optional<admission_item> pop(const admission_load& load,
                                              admission_time now) = 0;
    /// Removes item \p id; false if it is not waiting.
    virtual bool remove(std::uint64_t id) = 0;
    virtual std::size_t waiting(rank of) const = 0;
    /// Removes the items whose deadline has passed and returns their ids.
    virtual std::vector<std::uint64_t> expire(admission_time now) = 0;
    /// Records that \p item released its slot after \p held. \p load still counts it as
    /// running.
    virtual void finish(const admission_item& item, std::chrono::microseconds held,
                        const admission_load& load, admission_time now);
    /// A lower bound of the number of waiting items that would start before \p item.
    virtual std::size_t min_items_ahead(const admission_item& item) const = 0;
};

/// Creates the strategy \p name: "shares", "fifo" or "strict"; "shares" if the name is
/// unknown.
std::unique_ptr<admission_strategy> make_admission_strategy(std::string_view name);

/// Options of admission control for one member.
struct admission_options
{
    unsigned slots = 1;
    by_rank<admission_rank_limits> ranks;
    std::string strategy = "shares";
};

/// Slots and queues of one member. Not thread-safe.
class admission
{
public:
    explicit admission(admission_options options);

    /// Queues \p item. `overloaded` if its rank's queue is full; `deadline_unmeetable`
    /// if it would not start before its deadline.
    result<void> submit(const admission_item& item, admission_time now);
    /// Starts as many items as slots are free and returns their ids in order. Each holds
    /// a slot until finish().
    std::vector<std::uint64_t> start(admission_time now);
    /// Releases the slot of started item \p id; ignored if \p id is not running.
    void finish(std::uint64_t id, admission_time now);
    /// Removes a waiting item; false if it has started or is unknown.
    bool withdraw(std::uint64_t id);
    /// Removes the waiting items whose deadline has passed and returns their ids.
    std::vector<std::uint64_t> expire(admission_time now);
    /// Changes slots and ranks, but not the strategy. Running items keep their slots.
    void configure(const admission_options& options);

    unsigned running() const noexcept;
    std::size_t waiting() const;
    std::size_t waiting(rank of) const;
    /// Estimated wait of a new item of rank \p of, from recent service times.
    std::chrono::microseconds expected_wait(rank of) const;

private:
    struct started_item
    {
        admission_item item;
        admission_time started_at;
    };

    std::chrono::microseconds min_wait(const admission_item& item) const;

    admission_options options_;
    std::unique_ptr<admission_strategy> strategy_;
    admission_load load_;
    std::map<std::uint64_t, started_item> started_;
    /// Moving average of the time that a statement of each rank holds a slot; 0 if
    /// unknown.
    by_rank<std::chrono::microseconds> service_time_;
};

} // namespace papayabridge
