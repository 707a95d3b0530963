#include "member_node.hpp"

#include <algorithm>

namespace papayadb {

namespace {
constexpr std::chrono::milliseconds longest_slot_wait{50};
} // namespace

void member_node::leave()
{
    if (!left_at) {
        left_at = steady_clock::now();
        changed.notify();
    }
}

void member_node::keep_and_wake()
{
    file.sync();
    written_at.resize(state.log().size(), steady_clock::now());
    changed.notify();
}

net::awaitable<bool> member_node::take_slot()
{
    auto deadline = steady_clock::now() + longest_slot_wait;
    while (running >= settings.slots) {
        if (steady_clock::now() >= deadline) {
            ++stats.refused_busy;
            co_return false;
        }
        co_await changed.wait(deadline);
    }
    ++running;
    stats.max_concurrent = std::max(stats.max_concurrent, running);
    co_return true;
}

void member_node::give_slot()
{
    --running;
    changed.notify();
}

std::size_t member_node::open_transactions() const
{
    return static_cast<std::size_t>(
        std::count_if(connections.begin(), connections.end(), [](const auto& each) {
            return each.second.transaction.has_value();
        }));
}

bool member_node::quiet() const
{
    return open_transactions() == 0 && in_progress == 0;
}

std::chrono::milliseconds member_node::idle() const
{
    auto since = steady_clock::now() - probed_at;
    return std::chrono::duration_cast<std::chrono::milliseconds>(since);
}

} // namespace papayadb
