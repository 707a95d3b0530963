#include "update_batch.hpp"

namespace papayabridge {

namespace {

// An entry that starts or is lost is also noticed by the links to it.
constexpr std::chrono::milliseconds routine_delay{200};
// An update costs a keeper well under a millisecond, so updates take less than half of
// its time.
constexpr std::size_t watchers_per_millisecond = 1;
// Changes of primary and configurations have to arrive well within the time that
// statements wait for them.
constexpr std::chrono::milliseconds max_interval{100};
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
    return std::min(std::chrono::milliseconds(watchers / watchers_per_millisecond),
                    max_interval);
}

bool prefers_snapshot(std::size_t commands, std::size_t command_bytes,
                      std::size_t snapshot_bytes)
{
    return commands > few_commands && command_bytes > snapshot_bytes;
}

} // namespace papayabridge
