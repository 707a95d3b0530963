#include "memory_budget.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// The rest is for the process itself, its connections to members, and the kernel.
constexpr std::size_t machine_part = 3;
// 16 messages of the maximum size that run; the smallest machines have 112 MB.
constexpr std::size_t min_total = 32 * 1024 * 1024;
constexpr std::size_t share_part = 8;
// A message of the maximum size arrives beside session values of three times that size;
// callers set up to 256 values and 256 names of some hundred bytes, 0.3 MB.
constexpr std::size_t min_share = 4 * statement_message_limit;
// Above the buffer of an ordinary statement (up to some hundred bytes); that of 3,000
// sessions is 12 MB.
constexpr std::size_t allowance = 4096;
// A caller that sends or reads at all makes progress many times in this time.
constexpr std::chrono::milliseconds idle_after{2000};
// Reclaiming frees this part of the budget beyond what is asked for, so that candidates
// are not listed again for the next few bytes.
constexpr std::size_t reserve_part = 16;

constexpr std::array<std::string_view, 6> names{
    "unopened_message", "idle_buffer", "incomplete_message",
    "most_values",      "over_share",  "exhausted",
};

std::size_t size_for(const reclaim_candidate& candidate, memory_refusal reason)
{
    return reason == memory_refusal::most_values ? candidate.values
                                                 : candidate.input + candidate.output;
}

// The first step of reclaiming that takes the candidate's memory; nothing if none does.
std::optional<memory_refusal> step_of(const reclaim_candidate& candidate,
                                      const memory_limits& limits, memory_time now)
{
    bool is_idle = now - candidate.last_progress >= limits.idle_after;
    if (candidate.is_running || (candidate.is_answering && !is_idle)) {
        return std::nullopt;
    }
    bool has_input = candidate.input > limits.allowance;
    if (!candidate.is_open && has_input) {
        return memory_refusal::unopened_message;
    }
    if (is_idle && (has_input || candidate.output > limits.allowance)) {
        return memory_refusal::idle_buffer;
    }
    if (candidate.has_transaction) {
        return std::nullopt;
    }
    if (has_input) {
        return memory_refusal::incomplete_message;
    }
    if (candidate.values > limits.allowance) {
        return memory_refusal::most_values;
    }
    return std::nullopt;
}

} // namespace

memory_limits make_memory_limits(std::size_t total) noexcept
{
    return {.total = total,
            .share = std::max(total / share_part, min_share),
            .kept_for_input = largest_input_bytes,
            .allowance = allowance,
            .idle_after = idle_after};
}

std::size_t default_caller_memory(std::size_t machine_bytes) noexcept
{
    return std::max(machine_bytes / machine_part, min_total);
}

std::string_view name_of(memory_refusal refusal) noexcept
{
    return names[static_cast<std::size_t>(refusal)];
}

std::optional<memory_refusal> memory_budget::check(const caller_holdings& caller,
                                                   memory_use use,
                                                   std::size_t bytes) const noexcept
{
    auto before = caller.of(use);
    if (bytes <= before) {
        return std::nullopt;
    }
    auto wanted = caller.total() - before + bytes;
    if (wanted <= limits_.allowance) {
        return std::nullopt;
    }
    auto between_statements =
        wanted - caller.of(memory_use::output) - caller.of(memory_use::statement);
    if (use == memory_use::input && between_statements > limits_.share) {
        return memory_refusal::over_share;
    }
    if (use == memory_use::values && bytes > limits_.share - limits_.kept_for_input) {
        return memory_refusal::over_share;
    }
    if (held_ - before + bytes > limits_.total) {
        return memory_refusal::exhausted;
    }
    return std::nullopt;
}

void memory_budget::set(caller_holdings& caller, memory_use use,
                        std::size_t bytes) noexcept
{
    auto& held = caller.bytes_[static_cast<std::size_t>(use)];
    held_ = held_ - held + bytes;
    held = bytes;
}

void memory_budget::release(caller_holdings& caller) noexcept
{
    held_ -= caller.total();
    caller.bytes_ = {};
}

reclaim_choice memory_budget::choose(const std::vector<reclaim_candidate>& candidates,
                                     std::size_t requester, std::size_t more,
                                     memory_time now) const
{
    using victim = reclaim_choice::victim;
    std::vector<victim> order;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto step = step_of(candidates[index], limits_, now);
        if (step) {
            order.push_back({.index = index, .reason = *step});
        }
    }
    std::stable_sort(
        order.begin(), order.end(), [&](const victim& left, const victim& right) {
            if (left.reason != right.reason) {
                return left.reason < right.reason;
            }
            const auto& one = candidates[left.index];
            const auto& other = candidates[right.index];
            if (left.reason == memory_refusal::idle_buffer) {
                return one.last_progress < other.last_progress;
            }
            return size_for(one, left.reason) > size_for(other, right.reason);
        });
    auto reserve = limits_.total / reserve_part;
    auto needed = held_ + more > limits_.total ? held_ + more - limits_.total : 0;
    std::size_t freed = 0;
    reclaim_choice choice;
    for (const auto& next : order) {
        if (freed >= needed + reserve) {
            break;
        }
        if (next.index == requester) {
            if (freed < needed) {
                choice.refusal = next.reason;
            }
            break;
        }
        const auto& from = candidates[next.index];
        freed += from.input + from.output + from.values;
        choice.victims.push_back(next);
    }
    if (freed < needed) {
        choice.victims.clear();
        choice.refusal = choice.refusal.value_or(memory_refusal::exhausted);
    }
    return choice;
}

} // namespace papayabridge
