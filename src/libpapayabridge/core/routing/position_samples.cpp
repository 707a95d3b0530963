#include "position_samples.hpp"

#include <algorithm>
#include <ctime>

namespace papayabridge {

namespace {

// More frequent samples would hardly lower the position that a read requires.
constexpr std::chrono::milliseconds min_sample_interval{10};
// Longer than any staleness bound for which a read at a replica is useful.
constexpr std::chrono::seconds max_sample_age{30};

} // namespace

void position_samples::add(time sent_at, position reached)
{
    if (!samples_.empty() && sent_at < samples_.back().sent_at) {
        return;
    }
    if (!samples_.empty()) {
        reached = std::max(reached, samples_.back().reached);
    }
    bool too_close =
        samples_.size() > 1 &&
        sent_at - samples_[samples_.size() - 2].sent_at < min_sample_interval;
    if (too_close) {
        samples_.back() = {.sent_at = sent_at, .reached = reached};
    } else {
        samples_.push_back({.sent_at = sent_at, .reached = reached});
    }
    while (sent_at - samples_.front().sent_at > max_sample_age) {
        samples_.pop_front();
    }
}

std::optional<position>
position_samples::required_position(time now, std::chrono::milliseconds max_age) const
{
    auto found = std::lower_bound(samples_.begin(), samples_.end(), now - max_age,
                                  [](const sample& candidate, time earliest) {
                                      return candidate.sent_at < earliest;
                                  });
    if (found == samples_.end()) {
        return std::nullopt;
    }
    return found->reached;
}

// A former primary refuses every write, and every statement of a transaction except the
// COMMIT of one that wrote nothing. It runs reads outside transactions.
bool proves_primary_role(statement_verb verb, bool in_transaction, bool wrote)
{
    switch (verb) {
    case statement_verb::read:
    case statement_verb::execute:
        return in_transaction || wrote;
    case statement_verb::write:
        return true;
    case statement_verb::commit:
        return in_transaction && wrote;
    default:
        return false;
    }
}

position_samples::time boottime_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace papayabridge
