/// \file log_budget.hpp
/// How many lines of each event may be written a second. No input or output.

#pragma once

#include <array>
#include <optional>
#include <papayabridge/log.hpp>
#include <vector>

namespace papayabridge {

/// One bucket for each event, filled at the rate of its class up to one second's worth.
/// For a second after the line of a failure was held back there are no lines of requests
/// that did not fail. Not thread-safe.
class log_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit log_budget(log_rates rates = {}) : rates_(rates) {}

    /// Whether a line of \p event may be written at \p now; else it is counted.
    bool admit(log_event event, time_point now);
    /// Counts a line that was admitted, but lost for another reason.
    void count_lost(log_event event, time_point now) { hold_back(event, now); }
    /// The lines held back of each event since the last call.
    std::vector<std::pair<log_event, std::uint64_t>> take_held_back();

private:
    struct bucket
    {
        double lines = 0;
        time_point filled_at;
        bool used = false;
        std::uint64_t held_back = 0;
    };

    bucket& bucket_of(log_event event)
    {
        return buckets_[static_cast<std::size_t>(event)];
    }
    unsigned rate_of(log_event event) const;
    bool is_for_failures_only(time_point now) const;
    void hold_back(log_event event, time_point now);

    log_rates rates_;
    /// Last time that the line of a failure was held back.
    std::optional<time_point> failure_held_back_;
    std::array<bucket, static_cast<std::size_t>(log_event::statement_answered) + 1>
        buckets_;
};

} // namespace papayabridge
