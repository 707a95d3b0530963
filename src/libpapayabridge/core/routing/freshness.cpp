#include "core/routing/freshness.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

constexpr std::size_t min_capacity = 4;

} // namespace

freshness_samples::freshness_samples(std::size_t capacity)
    : capacity_(std::max(capacity, min_capacity))
{
}

void freshness_samples::add(time_point sent, term primary_term, position reached)
{
    if (primary_term < highest_term_) {
        // The position of a superseded primary proves nothing about later times.
        return;
    }
    highest_term_ = primary_term;
    // A later sample with an equal or lower position makes earlier ones redundant: it
    // proves a lower age and requires less.
    const auto next = std::find_if(samples_.begin(), samples_.end(),
                                   [&](const sample& each) { return each.sent >= sent; });
    if (next != samples_.end() && next->reached <= reached) {
        return;
    }
    const auto at = samples_.insert(next, {.sent = sent, .reached = reached});
    const auto first = std::find_if(samples_.begin(), at, [&](const sample& each) {
        return each.reached >= reached;
    });
    samples_.erase(first, at);
    if (samples_.size() > capacity_) {
        thin_older_half();
    }
}

std::optional<position> freshness_samples::min_position_for(std::chrono::milliseconds age,
                                                            time_point now) const
{
    for (const auto& each : samples_) {
        if (now - each.sent <= age) {
            return each.reached;
        }
    }
    return std::nullopt;
}

std::optional<std::chrono::milliseconds>
freshness_samples::max_age_of(position reached, time_point now) const
{
    std::optional<std::chrono::milliseconds> age;
    for (const auto& each : samples_) {
        if (each.reached <= reached) {
            age = std::chrono::ceil<std::chrono::milliseconds>(now - each.sent);
        }
    }
    return age;
}

void freshness_samples::thin_older_half()
{
    // Drops every second sample of the older half. The rest stay valid; the positions
    // required for a given age only become slightly stricter.
    std::vector<sample> kept;
    for (std::size_t i = 0; i < samples_.size(); ++i) {
        const bool old = i < samples_.size() / 2;
        if (!old || i % 2 == 0) {
            kept.push_back(samples_[i]);
        }
    }
    samples_ = std::move(kept);
}

} // namespace papayabridge
