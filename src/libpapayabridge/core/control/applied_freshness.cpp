#include "applied_freshness.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

constexpr std::size_t max_awaited_samples = 64;

} // namespace

void applied_freshness::record_commit(control_index commit, time_point now)
{
    if (commit <= applied_) {
        complete_as_of_ = std::max(complete_as_of_.value_or(now), now);
        return;
    }
    // Merging with a later sample is safe: it asks for more and claims no earlier time
    // once it is applied.
    bool merges = !awaited_.empty() && (commit <= awaited_.back().commit ||
                                        awaited_.size() >= max_awaited_samples);
    if (merges) {
        awaited_.back().commit = std::max(awaited_.back().commit, commit);
        awaited_.back().at = now;
    } else {
        awaited_.push_back({.commit = commit, .at = now});
    }
}

void applied_freshness::record_applied(control_index applied)
{
    applied_ = std::max(applied_, applied);
    while (!awaited_.empty() && awaited_.front().commit <= applied_) {
        complete_as_of_ =
            std::max(complete_as_of_.value_or(awaited_.front().at), awaited_.front().at);
        awaited_.pop_front();
    }
}

} // namespace papayabridge
