#include <papayabridge/retry.hpp>

#include <algorithm>

namespace papayabridge {

namespace {

constexpr unsigned whole_retry = 100;
/// Latencies between two calculations of the percentile.
constexpr std::size_t refresh_interval = 16;

} // namespace

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), hundredths_(options.burst * whole_retry)
{
}

void retry_budget::record_first_attempt() noexcept
{
    hundredths_ = std::min(hundredths_ + options_.percent, options_.burst * whole_retry);
}

bool retry_budget::try_spend() noexcept
{
    if (hundredths_ < whole_retry) {
        return false;
    }
    hundredths_ -= whole_retry;
    return true;
}

unsigned retry_budget::remaining() const noexcept
{
    return hundredths_ / whole_retry;
}

std::chrono::milliseconds backoff(unsigned attempt, std::chrono::milliseconds base,
                                  std::chrono::milliseconds most) noexcept
{
    auto wait = std::min(base, most);
    for (unsigned i = 1; i < attempt && wait < most; ++i) {
        wait = std::min(wait * 2, most);
    }
    return wait;
}

std::chrono::milliseconds with_jitter(std::chrono::milliseconds whole,
                                      double random) noexcept
{
    const auto half = whole / 2;
    const auto rest = static_cast<double>((whole - half).count());
    return half + std::chrono::milliseconds(static_cast<std::int64_t>(rest * random));
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
    const auto delay = std::max(p95_, options_.min_delay);
    // The hedge itself is expected to take as long again.
    if (delay * 2 > time_left) {
        return std::nullopt;
    }
    return delay;
}

void hedge_policy::refresh()
{
    since_refresh_ = 0;
    auto sorted = recent_;
    const auto place = sorted.size() * 95 / 100;
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(place);
    std::nth_element(sorted.begin(), nth, sorted.end());
    p95_ = *nth;
}

} // namespace papayabridge
