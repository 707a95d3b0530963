/// \file rate_limit.hpp
/// Limits the operations of a client account over all entries. No I/O.
///
/// Load pattern: an account's callers are spread unevenly over many entries, and one
/// account suddenly calls several times as often as usual. Each account has a home, the
/// entry that keeps its token bucket; entries ask it for tokens.
///
/// The rule to keep: in any window of 5 s at most (5 s x rate + burst) x 1.1 + 20
/// operations, which leaves 0.5 s x rate + 0.1 x burst + 20 above the bucket. It is used
/// for the allowance of the bucket (12 operations), and for these parts of the rate:
/// tokens spent later than granted (0.35 s), a new home beside the old one (0.1 s),
/// promises that are kept although tokens are held back (0.1 s, and 4 operations). What
/// entries spend without tokens while a home is silent is held back by a home that still
/// runs, except for the time that it needs to notice (0.15 s); after a home that is lost,
/// the slow start of the next one leaves room for it (0.9 s). These faults do not add up:
/// messages that are delayed to the limit, a home that is cut off and one that is
/// replaced in the same window use the slack in turn.

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <papayabridge/ids.hpp>
#include <papayabridge/pooled_configuration.hpp>
#include <vector>

namespace papayabridge {

/// Time since the machine booted, including time suspended.
using boot_time = std::chrono::nanoseconds;

/// The first \p count entries in the order in which they are home of \p account, by
/// rendezvous hashing: the loss or return of an entry moves only its own accounts.
std::vector<entry_id> order_homes(const account_name& account,
                                  const std::vector<entry_id>& entries,
                                  std::size_t count);

/// What an entry asks of the home of an account.
struct token_request
{
    account_name account;
    unsigned wanted = 0;
    /// Of them, those for operations that are expected. The others are spent when the
    /// answer arrives, or are lost if it is late.
    unsigned ahead = 0;
    /// Operations that ran without tokens since the last request.
    unsigned overspent = 0;

    friend bool operator==(const token_request&, const token_request&) = default;
};

/// How long a request for tokens waits for its answer: longer than a round trip between
/// regions takes in a busy process. Tokens in a later answer are lost.
inline constexpr std::chrono::milliseconds answer_time{150};

/// How long a token is valid after the request for it was sent.
boot_time token_life(const client_account& limit);

/// What a home answers to a request for tokens.
struct token_grant
{
    unsigned granted = 0;
    /// If less was granted than asked for: the time after which more tokens of the asker
    /// are there. If both are 0, the entry is not the home.
    std::chrono::milliseconds retry_after{0};

    friend bool operator==(const token_grant&, const token_grant&) = default;
};

/// Tokens granted at one time.
struct token_sum
{
    boot_time at;
    unsigned count = 0;
};

/// Grants of the last seconds to one entry.
class grant_history
{
public:
    void add(unsigned count, boot_time now);
    /// Operations that the entry may run without tokens when its home falls silent at
    /// \p now.
    double unanswered_budget(boot_time now) const;
    /// The rate at which it may run them, in operations a second.
    double rate(boot_time now) const;

private:
    std::deque<token_sum> grants_;
};

/// The home's token bucket of one account.
class token_bucket
{
public:
    /// Number by which a home tells the entries apart that ask.
    using asker = std::uint64_t;

    /// The bucket of a home that was made just now: empty, and refilled slowly at first,
    /// since another entry may still act as the home.
    explicit token_bucket(boot_time now);
    /// The bucket of a home that was one before, in a run that has ended: empty, and
    /// refilled at once.
    static token_bucket resumed(boot_time now);
    /// The full bucket of an account that had no limit until now.
    static token_bucket full(const client_account& limit, boot_time now);

    /// Grants up to the wanted tokens.
    token_grant grant(const client_account& limit, asker from,
                      const token_request& request, boot_time now);

private:
    struct booking
    {
        double tokens = 0;
        boot_time due;
    };

    /// What the home knows of an entry that asks.
    struct asking_entry
    {
        boot_time last_contact{0};
        /// When it is expected to ask again at the latest, if it has operations.
        boot_time expected;
        grant_history grants;
        /// Tokens held back for what it may spend without an answer, and since when.
        double held_back = 0;
        boot_time held_back_at{0};
    };

    void refill(const client_account& limit, boot_time now);
    void hold_back(boot_time now);
    void add_tokens(const client_account& limit, double tokens);
    std::chrono::milliseconds book(const client_account& limit, asker from,
                                   unsigned wanted, boot_time now);
    double refill_until(boot_time end, boot_time now) const;
    double available_to(asker from, boot_time now) const;
    std::chrono::milliseconds time_to_refill(double tokens, boot_time now) const;

    double level_ = 0;
    boot_time slow_until_;
    boot_time refilled_at_;
    double rate_ = 0;
    /// Grants whose tokens may not be spent yet, with the times when they expire, and
    /// their sum.
    std::deque<token_sum> held_ahead_;
    std::deque<token_sum> held_for_waiting_;
    double held_tokens_ = 0;
    /// Tokens that refused askers were told to come back for.
    std::map<asker, booking> bookings_;
    std::map<asker, asking_entry> askers_;
};

/// What an entry does with an operation.
enum class operation_step : std::uint8_t
{
    admit,
    /// Refuse it, to be tried again after entry_tokens::retry_after().
    refuse,
    /// Ask the home, or wait for its answer.
    wait,
};

/// The tokens of one account at one entry, and what it may do while the home is silent.
class entry_tokens
{
public:
    /// Counts an operation that arrives, for the estimate of the demand.
    void record_arrival(boot_time now);
    /// Decides about one operation; takes a token if it is admitted.
    operation_step decide(boot_time now);
    /// For an operation that is refused now: the time after which it can succeed.
    std::chrono::milliseconds retry_after(boot_time now) const;
    /// What to ask the home for while \p waiting operations wait; no tokens if there are
    /// enough or the home told to come back later.
    token_request request(const account_name& account, unsigned waiting,
                          boot_time now) const;

    /// The answer of the home to the request sent at \p sent_at. \p life: token_life() of
    /// the account.
    void record_answer(const token_grant& answer, boot_time life, boot_time sent_at,
                       boot_time now);
    /// A request was not answered in time. Repeated until record_answer().
    void record_silence(boot_time now);
    bool is_home_silent() const { return silent_since_.has_value(); }
    /// Forgets what the home told, as the account has another home now.
    void forget_home();

    /// Operations admitted without a token, while the home was silent, that it was not
    /// told of.
    unsigned unreported() const { return unreported_; }
    /// The home was told of \p count of them.
    void record_reported(unsigned count);

private:
    struct batch
    {
        unsigned tokens = 0;
        boot_time expires;
    };
    bool take(boot_time now);
    bool take_unanswered(boot_time now);
    bool is_refused(boot_time now) const { return refused_until_ && now < ask_again_at_; }
    unsigned held(boot_time now) const;

    std::deque<batch> batches_;
    grant_history grants_;
    /// When operations ran without tokens, in the last window.
    std::deque<boot_time> unanswered_;
    double demand_ = 0;
    boot_time demand_at_{0};
    /// The time told by the home. It is asked again at `ask_again_at_`, or later.
    std::optional<boot_time> refused_until_;
    boot_time ask_again_at_{0};
    /// When the home refused last.
    std::optional<boot_time> refused_at_;
    boot_time life_{0};
    std::optional<boot_time> silent_since_;
    /// While the home is silent: when it is asked again.
    boot_time probe_at_{0};
    /// When the home fell silent: what may be spent, how fast, and what had been.
    double unanswered_budget_ = 0;
    double unanswered_rate_ = 0;
    std::size_t unanswered_before_ = 0;
    unsigned unreported_ = 0;
};

} // namespace papayabridge
