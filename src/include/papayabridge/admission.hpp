/// \file admission.hpp
/// Decides which queued statement runs next at one member. No input or output.
///
/// The owner submits items, asks which may start, and says when one has finished. The
/// order is a strategy: ours keeps guaranteed shares; FIFO and strict priority are
/// there to compare with.

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

/// One statement that waits for a slot.
struct admission_item
{
    /// Unique at this member.
    std::uint64_t id = 0;
    papayabridge::rank rank = rank::normal;
    caller_id caller;
    admission_time arrived;
    admission_time deadline;
    /// An answer by then is within target; items that can still make it go before
    /// items that cannot. At the clock's epoch: there is no target.
    admission_time target{};
};

/// How a rank is treated.
struct admission_rank_limits
{
    /// Share of the slots it keeps under any flood, in percent.
    unsigned share_percent = 0;
    /// Items that may wait.
    std::size_t queue_limit = 1000;
};

/// What the strategies see of the member.
struct admission_load
{
    unsigned slots = 1;
    by_rank<unsigned> running;
    by_rank<admission_rank_limits> ranks;
};

/// Orders the waiting items.
class admission_strategy
{
public:
    virtual ~admission_strategy() = default;

    virtual void push(const admission_item& item) = 0;
    /// Takes the next item to run, if one may run under \p load.
    virtual std::optional<admission_item> pop(const admission_load& load,
                                              admission_time now) = 0;
    /// Takes item \p id out; false if it is not waiting.
    virtual bool remove(std::uint64_t id) = 0;
    virtual std::size_t waiting(rank of) const = 0;
    /// Items whose deadline has passed; takes them out.
    virtual std::vector<std::uint64_t> expire(admission_time now) = 0;
    /// Item \p item freed its slot after \p held; \p load still counts it as running.
    virtual void finished(const admission_item& item, std::chrono::microseconds held,
                          const admission_load& load, admission_time now);
    /// A lower bound of the waiting items that would start before \p item.
    virtual std::size_t ahead(const admission_item& item) const = 0;
};

/// The strategies by name: "shares" (ours), "fifo", "strict".
std::unique_ptr<admission_strategy> make_admission_strategy(std::string_view name);

/// Options of one member's admission.
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
    /// The items that start now, in order; each holds a slot until finished().
    std::vector<std::uint64_t> start(admission_time now);
    /// Frees the slot of a started item.
    void finish(std::uint64_t id, admission_time now);
    /// Takes a waiting item out; false if it started or is unknown.
    bool withdraw(std::uint64_t id);
    /// Takes out and returns the waiting items whose deadline has passed.
    std::vector<std::uint64_t> expire(admission_time now);
    /// Changes slots and ranks; running items keep theirs.
    void configure(const admission_options& options);

    unsigned running() const noexcept;
    std::size_t waiting() const;
    std::size_t waiting(rank of) const;
    /// How long an item of \p of would wait now, from the recent rate of service.
    std::chrono::microseconds expected_wait(rank of) const;

private:
    struct started_item
    {
        admission_item item;
        admission_time at;
    };

    std::chrono::microseconds least_wait(const admission_item& item) const;

    admission_options options_;
    std::unique_ptr<admission_strategy> strategy_;
    admission_load load_;
    std::map<std::uint64_t, started_item> started_;
    /// Smoothed time that one statement of each rank holds a slot; 0 if not known.
    by_rank<std::chrono::microseconds> service_time_;
};

} // namespace papayabridge
