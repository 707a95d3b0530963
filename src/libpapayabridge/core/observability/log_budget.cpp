#include "log_budget.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// How long the room of other requests' lines is left to failures.
constexpr std::chrono::seconds failures_only{1};

// Whether its lines give way to those of failures.
bool gives_way(log_event event)
{
    auto kind = row_of(event).kind;
    return kind == log_class::trouble || kind == log_class::ordinary;
}

} // namespace

unsigned log_budget::rate_of(log_event event) const
{
    switch (row_of(event).kind) {
    case log_class::change:
        return rates_.changes;
    case log_class::failure:
        return rates_.failures;
    case log_class::trouble:
        return rates_.troubles;
    case log_class::ordinary:
        break;
    }
    return rates_.ordinary;
}

bool log_budget::is_for_failures_only(time_point now) const
{
    return failure_held_back_ && now < *failure_held_back_ + failures_only;
}

void log_budget::hold_back(log_event event, time_point now)
{
    ++bucket_of(event).held_back;
    if (row_of(event).kind == log_class::failure) {
        failure_held_back_ = std::max(failure_held_back_.value_or(now), now);
    }
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
    bool left_to_failures = gives_way(event) && is_for_failures_only(now);
    if (one.lines < 1 || left_to_failures) {
        hold_back(event, now);
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
