#include "update_batch.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// An entry that starts or is lost is also noticed by the links to it.
constexpr std::chrono::milliseconds routine_delay{200};
// Leaves a keeper time for its other work while changes come without a break: its
// processor is a fraction of a core, and each watcher's update is sent by itself.
constexpr std::chrono::milliseconds time_per_watcher{2};
// Changes of primary and configurations have to arrive well within the time that
// statements wait for them.
constexpr std::chrono::milliseconds max_interval{150};
// A first failure is often that of one keeper. Later ones mean that the keepers or the
// links are overloaded, and each call adds to that.
constexpr std::chrono::milliseconds first_pause{20};
constexpr unsigned max_doublings = 5;
// Reports that are not repeated within 700 ms expire.
constexpr std::chrono::milliseconds min_report_interval{150};
constexpr std::chrono::milliseconds max_report_interval{400};
// A few commands are sent whatever a snapshot would cost.
constexpr std::size_t few_commands = 16;

} // namespace

std::chrono::milliseconds notice_delay(const command& change)
{
    if (std::holds_alternative<register_entry>(change) ||
        std::holds_alternative<register_keeper>(change))
    {
        return routine_delay;
    }
    const auto* condition = std::get_if<set_entry_condition>(&change);
    bool is_routine =
        condition != nullptr && condition->condition != entry_condition::draining;
    return is_routine ? routine_delay : std::chrono::milliseconds(0);
}

std::chrono::milliseconds update_interval(std::size_t watchers)
{
    return std::min(time_per_watcher * static_cast<int>(watchers), max_interval);
}

std::chrono::milliseconds watch_pause(unsigned failures, double fraction)
{
    auto longest = first_pause * (1U << std::min(failures, max_doublings));
    auto shortest = first_pause / 2;
    return shortest + std::chrono::milliseconds(static_cast<std::int64_t>(
                          static_cast<double>((longest - shortest).count()) * fraction));
}

std::chrono::milliseconds report_interval(std::size_t entries)
{
    return std::clamp(std::chrono::milliseconds(entries), min_report_interval,
                      max_report_interval);
}

bool prefers_snapshot(std::size_t commands, std::size_t command_bytes,
                      std::size_t snapshot_bytes)
{
    return commands > few_commands && command_bytes > snapshot_bytes;
}

} // namespace papayabridge
