#include <papayabridge/retry.hpp>

#include <algorithm>

namespace papayabridge {

namespace {

/// Credit of one retry, in hundredths.
constexpr unsigned retry_cost = 100;
/// Number of latencies between two calculations of the percentile.
constexpr std::size_t refresh_interval = 16;

} // namespace

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), hundredths_(options.burst * retry_cost)
{
}

void retry_budget::record_first_attempt() noexcept
{
    hundredths_ = std::min(hundredths_ + options_.percent, options_.burst * retry_cost);
}

bool retry_budget::try_spend() noexcept
{
    if (hundredths_ < retry_cost) {
        return false;
    }
    hundredths_ -= retry_cost;
    return true;
}

unsigned retry_budget::remaining() const noexcept
{
    return hundredths_ / retry_cost;
}

std::chrono::milliseconds backoff(unsigned attempt, std::chrono::milliseconds base,
                                  std::chrono::milliseconds max) noexcept
{
    auto wait = std::min(base, max);
    for (unsigned i = 1; i < attempt && wait < max; ++i) {
        wait = std::min(wait * 2, max);
    }
    return wait;
}

std::chrono::milliseconds with_jitter(std::chrono::milliseconds delay,
                                      double random) noexcept
{
    const auto half = delay / 2;
    const auto jitter = static_cast<double>((delay - half).count());
    return half + std::chrono::milliseconds(static_cast<std::int64_t>(jitter * random));
}

hedge_policy::hedge_policy(hedge_options options) : options_(options)
{
    recent_.reserve(options_.max_samples);
}

void hedge_policy::record_latency(std::chrono::microseconds latency)
{
    if (recent_.size() < options_.max_samples) {
        recent_.push_back(latency);
    } else {
        recent_[next_] = latency;
        next_ = (next_ + 1) % options_.max_samples;
    }
    ++since_refresh_;
    if (since_refresh_ >= refresh_interval) {
        refresh();
    }
}

std::optional<std::chrono::microseconds>
hedge_policy::delay(std::chrono::microseconds time_left) const
{
    if (recent_.size() < options_.min_samples) {
        return std::nullopt;
    }
    const auto wait = std::max(p95_, options_.min_delay);
    // The hedge is expected to take as long as the delay.
    if (wait * 2 > time_left) {
        return std::nullopt;
    }
    return wait;
}

void hedge_policy::refresh()
{
    since_refresh_ = 0;
    auto sorted = recent_;
    const auto index = sorted.size() * 95 / 100;
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(sorted.begin(), nth, sorted.end());
    p95_ = *nth;
}

} // namespace papayabridge
