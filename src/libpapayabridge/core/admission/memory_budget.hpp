/// \file memory_budget.hpp
/// Accounts the memory that an entry holds for its callers, and chooses whose buffers are
/// reclaimed when it runs out. No I/O.
///
/// Load pattern: nearly all callers hold a few hundred bytes, a short statement and some
/// session values, and now and then one sends a message of the maximum size. Callers
/// outside of our control, alone or many at once, hold as much as they can: messages that
/// do not end, large values, answers that are not read. So a caller with less than the
/// allowance is never refused, one caller gets no more than its share, and reclaiming
/// starts with the callers that have nothing to lose.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <papayabridge/statement_codec.hpp>
#include <string_view>
#include <vector>

namespace papayabridge {

using memory_time = std::chrono::steady_clock::time_point;

/// What a caller's memory is used for.
enum class memory_use : std::uint8_t
{
    input,     ///< A message that is not complete yet.
    statement, ///< The statement that runs.
    output,    ///< An answer that the caller has not read.
    values,    ///< Session values and prepared names.
};

/// Size up to which the input buffer of a caller grows; just above the largest message.
inline constexpr std::size_t largest_input_bytes = statement_message_limit + 4096;

/// Limits in bytes.
struct memory_limits
{
    /// All callers together.
    std::size_t total = 0;
    /// Input and values of one caller. What a statement needs while it runs, and its
    /// answer, count only in the total.
    std::size_t share = 0;
    /// Part of the share that values leave for a message.
    std::size_t kept_for_input = 0;
    /// What a caller is always granted.
    std::size_t allowance = 0;
    /// A buffer without progress for this time is idle.
    std::chrono::milliseconds idle_after{0};
};

/// The limits for a budget of \p total bytes.
memory_limits make_memory_limits(std::size_t total) noexcept;
/// The budget of an entry on a machine with \p machine_bytes.
std::size_t default_caller_memory(std::size_t machine_bytes) noexcept;

/// The bytes that one caller holds.
class caller_holdings
{
public:
    std::size_t of(memory_use use) const noexcept
    {
        return bytes_[static_cast<std::size_t>(use)];
    }
    std::size_t total() const noexcept
    {
        return bytes_[0] + bytes_[1] + bytes_[2] + bytes_[3];
    }

private:
    friend class memory_budget;
    std::array<std::size_t, 4> bytes_{};
};

/// Why memory is refused to a caller or reclaimed from it.
enum class memory_refusal : std::uint8_t
{
    unopened_message,   ///< An incomplete message before the session was opened.
    idle_buffer,        ///< An incomplete message or unread answer without progress.
    incomplete_message, ///< An incomplete message of a session without a transaction.
    most_values,        ///< The session with the most values.
    over_share,         ///< The caller asks for more than its share.
    exhausted,          ///< Nothing can be reclaimed.
};

/// Name in logs and metrics.
std::string_view name_of(memory_refusal refusal) noexcept;

/// A caller whose memory may be reclaimed.
struct reclaim_candidate
{
    std::size_t input = 0;
    std::size_t output = 0;
    std::size_t values = 0;
    bool is_open = false;
    /// Whether a statement is in progress.
    bool is_running = false;
    /// Whether an answer is being sent.
    bool is_answering = false;
    /// Whether a member holds a transaction for it.
    bool has_transaction = false;
    /// When it last sent bytes, or an answer to it was begun.
    memory_time last_progress;
};

/// Whose memory is reclaimed for a request.
struct reclaim_choice
{
    struct victim
    {
        std::size_t index = 0;
        memory_refusal reason = memory_refusal::exhausted;
    };

    /// In the order of reclaiming; empty if the request is refused.
    std::vector<victim> victims;
    /// Why the request is refused; empty if it fits after reclaiming.
    std::optional<memory_refusal> refusal;
};

/// Counts per caller and over all callers.
class memory_budget
{
public:
    explicit memory_budget(memory_limits limits) noexcept : limits_(limits) {}

    const memory_limits& limits() const noexcept { return limits_; }
    /// Bytes held for all callers.
    std::size_t held() const noexcept { return held_; }
    bool is_exhausted() const noexcept { return held_ >= limits_.total; }

    /// Whether \p caller may hold \p bytes for \p use without reclaiming; else why not.
    std::optional<memory_refusal> check(const caller_holdings& caller, memory_use use,
                                        std::size_t bytes) const noexcept;
    /// Records that \p caller holds \p bytes for \p use.
    void set(caller_holdings& caller, memory_use use, std::size_t bytes) noexcept;
    void release(caller_holdings& caller) noexcept;

    /// Chooses whose memory is reclaimed so that the candidate at \p requester, listed as
    /// if it held what it asks for, gets \p more bytes.
    reclaim_choice choose(const std::vector<reclaim_candidate>& candidates,
                          std::size_t requester, std::size_t more, memory_time now) const;

private:
    memory_limits limits_;
    std::size_t held_ = 0;
};

} // namespace papayabridge
