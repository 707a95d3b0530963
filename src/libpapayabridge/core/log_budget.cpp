#include "log_budget.hpp"

#include <algorithm>

namespace papayabridge {

unsigned log_budget::rate_of(log_event event) const
{
    switch (row_of(event).kind) {
    case log_class::change:
        return rates_.changes;
    case log_class::trouble:
        return rates_.troubles;
    case log_class::ordinary:
        break;
    }
    return rates_.ordinary;
}

bool log_budget::admit(log_event event, time_point now)
{
    auto& one = bucket_of(event);
    double most = rate_of(event);
    if (!one.used) {
        one.used = true;
        one.lines = most;
    } else {
        auto seconds = std::chrono::duration<double>(now - one.filled_at).count();
        one.lines = std::min(most, one.lines + std::max(0.0, seconds) * most);
    }
    one.filled_at = now;
    if (one.lines < 1) {
        ++one.held_back;
        return false;
    }
    one.lines -= 1;
    return true;
}

std::vector<std::pair<log_event, std::uint64_t>> log_budget::take_held_back()
{
    std::vector<std::pair<log_event, std::uint64_t>> found;
    for (const auto& row : log_events()) {
        auto& count = bucket_of(row.event).held_back;
        if (count != 0) {
            found.emplace_back(row.event, count);
            count = 0;
        }
    }
    return found;
}

} // namespace papayabridge
