#include "rate_limit.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;
using seconds_of = std::chrono::duration<double>;

// Operations above the burst that a bucket can hold. An account with few operations a
// second would otherwise be refused whenever two of them come together; the rule allows
// 20 above the limit.
constexpr double bucket_allowance = 12;
// Views of entries differ for up to this time, so that an account can have two homes.
constexpr milliseconds home_overlap{1000};
// Part of the rate at which a new home refills during that time; see the file's comment.
constexpr double new_home_part = 0.1;
// The tokens that an asker is told to come back for: its part of the refill of this time,
// which is ten requests a second of one entry. If many entries ask, so many that the home
// gets about this many requests a second of all.
constexpr milliseconds share_time{100};
constexpr double max_requests_per_second = 70;
// How long an asker counts among those that share the refill.
constexpr milliseconds asker_memory{1000};
// Tokens that are held back go to an entry that was told to come for them, up to the
// refill of this time and a few more for small accounts; most entries that do not ask
// have just no operations.
constexpr milliseconds promise_time{100};
constexpr double promise_allowance = 4;
// How long booked tokens are kept for an asker after the told time: a round trip between
// regions takes 16 ms, and an entry asks only when the next operation arrives.
constexpr milliseconds booking_grace{50};
// The life of tokens. Those that can be held in a window from before it, so many seconds
// of the rate, are part of the rule's slack; a larger burst is lowered by the rest of
// what is held (token_bucket::add_tokens). Longer lives need fewer messages.
constexpr milliseconds min_token_life{350};
constexpr milliseconds max_token_life{850};
constexpr double life_of_burst = 0.5;
// Part of a token's life for whose demand a busy account asks ahead.
constexpr double ahead_part = 1.0;
// More would be counted as held by the home for their whole life, although a flood spends
// them at once.
constexpr double max_ahead = 10;
// With so many tokens asked for ahead, the next ones are asked for before all are spent.
// At a lower demand that would be a message for each operation.
constexpr unsigned busy_ahead = 4;
// After a refusal an account is at its limit for this long, so that tokens that expire
// are lost to other entries: it then asks only for as many as it uses almost certainly.
constexpr milliseconds careful_time{5000};
constexpr double careful_deviations = 2;
// Over which the demand is averaged. With 250 ms, entries with one operation a second
// seemed to be busy after each of them and asked for tokens that expired.
constexpr milliseconds demand_time{1000};
// How long entries spend without an answer of the home.
constexpr milliseconds max_silence{1500};
// The time for whose grants they spend in one window; see the file's comment.
constexpr milliseconds unanswered_time{500};
constexpr milliseconds window{5000};
// A home that hears nothing from an entry for this long, a round trip between regions and
// the time of a request that was lost included, holds back what the entry may spend.
constexpr milliseconds hold_back_after{300};
// An entry may spend up to 1 s (age of its last grants) + 1.5 s after its last contact.
// Tokens that are given back a window later are in no window with them.
constexpr milliseconds hold_back_time{8000};
// When an operation may be tried again while the home is silent: a lost home is replaced
// by the keepers in about this time.
constexpr milliseconds silent_retry{500};
// How long an entry refuses without asking again. A small account whose callers are at
// many entries is told longer times under a flood; the flood may end before.
constexpr milliseconds max_refusal{1000};
// Time between two requests to a silent home: a few a second cost little.
constexpr milliseconds probe_pause{200};

double in_seconds(boot_time time)
{
    return seconds_of(time).count();
}

boot_time to_boot_time(double seconds)
{
    return std::chrono::duration_cast<boot_time>(seconds_of(seconds));
}

} // namespace

std::vector<entry_id> order_homes(const account_name& account,
                                  const std::vector<entry_id>& entries, std::size_t count)
{
    using scored = std::pair<std::uint64_t, const entry_id*>;
    std::vector<scored> scores;
    scores.reserve(entries.size());
    auto seed = XXH64(account.str().data(), account.str().size(), 0);
    for (const auto& entry : entries) {
        scores.emplace_back(XXH64(entry.str().data(), entry.str().size(), seed), &entry);
    }
    auto end =
        scores.begin() + static_cast<std::ptrdiff_t>(std::min(count, scores.size()));
    std::partial_sort(
        scores.begin(), end, scores.end(), [](const scored& a, const scored& b) {
            return std::tie(a.first, *a.second) < std::tie(b.first, *b.second);
        });
    std::vector<entry_id> ordered;
    ordered.reserve(count);
    std::transform(scores.begin(), end, std::back_inserter(ordered),
                   [](const scored& row) { return *row.second; });
    return ordered;
}

boot_time token_life(const client_account& limit)
{
    auto rate = std::max(limit.operations_per_second, 1e-3);
    auto life = in_seconds(min_token_life) + life_of_burst * limit.burst / rate;
    return to_boot_time(std::min(life, in_seconds(max_token_life)));
}

// --- Home side ---

token_bucket::token_bucket(boot_time now)
    : slow_until_(now + home_overlap), refilled_at_(now)
{
}

token_bucket token_bucket::resumed(boot_time now)
{
    token_bucket bucket(now);
    bucket.slow_until_ = now;
    return bucket;
}

// What others grant meanwhile is not counted: the limit is kept from one window after all
// entries have it.
token_bucket token_bucket::full(const client_account& limit, boot_time now)
{
    token_bucket bucket(now);
    bucket.slow_until_ = now;
    bucket.level_ = limit.burst + bucket_allowance;
    return bucket;
}

void token_bucket::refill(const client_account& limit, boot_time now)
{
    // A new limit does not count for the time before it was known, if it is higher.
    auto rate = rate_ > 0 ? std::min(rate_, limit.operations_per_second)
                          : limit.operations_per_second;
    rate_ = limit.operations_per_second;
    auto from = std::exchange(refilled_at_, std::max(refilled_at_, now));
    auto slow_until = std::clamp(slow_until_, from, refilled_at_);
    for (auto* held : {&held_ahead_, &held_for_waiting_}) {
        while (!held->empty() && held->front().at < now) {
            held_tokens_ -= held->front().count;
            held->pop_front();
        }
    }
    add_tokens(limit, rate * (in_seconds(slow_until - from) * new_home_part +
                              in_seconds(refilled_at_ - slow_until)));
    std::erase_if(bookings_,
                  [&](const auto& row) { return row.second.due + booking_grace < now; });
    hold_back(now);
    add_tokens(limit, 0);
}

// Tokens that are held somewhere may be spent together with those of the bucket, so that
// both have one limit.
void token_bucket::add_tokens(const client_account& limit, double tokens)
{
    auto most = limit.burst + bucket_allowance;
    auto most_with_held =
        most + limit.operations_per_second * in_seconds(min_token_life) - held_tokens_;
    auto room = std::max(0.0, std::min(most, most_with_held) - level_);
    level_ = std::min(level_ + std::min(tokens, room), most);
}

// Entries that do not ask any more may have no operations, or may have lost the home and
// spend without tokens. The home gives them nothing else meanwhile.
void token_bucket::hold_back(boot_time now)
{
    for (auto& [name, entry] : askers_) {
        if (entry.held_back == 0 && now - entry.expected > hold_back_after) {
            entry.held_back =
                std::floor(entry.grants.unanswered_budget(entry.last_contact));
            entry.held_back_at = now;
            level_ -= entry.held_back;
        }
    }
    std::erase_if(askers_, [&](const auto& row) {
        bool is_old = now - row.second.expected > hold_back_time;
        level_ += is_old ? row.second.held_back : 0;
        return is_old;
    });
}

double token_bucket::refill_until(boot_time end, boot_time now) const
{
    auto slow_time = in_seconds(std::clamp(slow_until_, now, std::max(now, end)) - now);
    auto time = in_seconds(std::max(now, end) - now);
    return rate_ * (slow_time * new_home_part + time - slow_time);
}

milliseconds token_bucket::time_to_refill(double tokens, boot_time now) const
{
    auto slow_time = in_seconds(std::max(boot_time(0), slow_until_ - now));
    auto slow_tokens = slow_time * rate_ * new_home_part;
    auto time = tokens <= slow_tokens ? tokens / (rate_ * new_home_part)
                                      : slow_time + (tokens - slow_tokens) / rate_;
    return std::max(std::chrono::ceil<milliseconds>(to_boot_time(time)), milliseconds(1));
}

// The tokens that can be taken now so that each booking of another asker is there when it
// is due. A booking that was not claimed leaves its tokens to the next who asks.
double token_bucket::available_to(asker from, boot_time now) const
{
    std::vector<booking> others;
    for (const auto& [by, wish] : bookings_) {
        if (by != from) {
            others.push_back(wish);
        }
    }
    std::sort(others.begin(), others.end(),
              [](const auto& a, const auto& b) { return a.due < b.due; });
    auto available = level_;
    double booked = 0;
    for (const auto& wish : others) {
        booked += wish.tokens;
        available = std::min(available, level_ + refill_until(wish.due, now) - booked);
    }
    return available;
}

token_grant token_bucket::grant(const client_account& limit, asker from,
                                const token_request& request, boot_time now)
{
    auto wanted = request.wanted;
    refill(limit, now);
    auto& entry = askers_[from];
    add_tokens(limit, std::exchange(entry.held_back, 0) - request.overspent);
    entry.last_contact = now;
    entry.expected = now;
    if (wanted == 0) {
        return {};
    }
    constexpr double rounding = 1e-6;
    auto available = std::floor(available_to(from, now) + rounding);
    auto promised = bookings_.find(from);
    if (promised != bookings_.end() && promised->second.due <= now) {
        auto limit_of_promise =
            level_ + rate_ * in_seconds(promise_time) + promise_allowance + rounding;
        available = std::max(
            available, std::floor(std::min(promised->second.tokens, limit_of_promise)));
    }
    token_grant answer;
    if (available >= 1) {
        answer.granted = static_cast<unsigned>(std::min<double>(wanted, available));
        level_ -= answer.granted;
        bookings_.erase(from);
        entry.grants.add(answer.granted, now);
        auto waiting = std::min(answer.granted, wanted - std::min(wanted, request.ahead));
        held_for_waiting_.push_back({.at = now + answer_time, .count = waiting});
        held_ahead_.push_back(
            {.at = now + token_life(limit), .count = answer.granted - waiting});
        held_tokens_ += answer.granted;
    }
    if (answer.granted < wanted) {
        answer.retry_after = book(limit, from, wanted - answer.granted, now);
        entry.expected = now + std::min(answer.retry_after, max_refusal);
    }
    return answer;
}

// Reserves the next tokens that are not reserved yet. Returns when they are there.
milliseconds token_bucket::book(const client_account& limit, asker from, unsigned wanted,
                                boot_time now)
{
    auto sharing = std::count_if(askers_.begin(), askers_.end(), [&](const auto& row) {
        return now - row.second.last_contact < asker_memory;
    });
    auto share = limit.operations_per_second *
                 std::max(in_seconds(share_time) / static_cast<double>(sharing),
                          1 / max_requests_per_second);
    booking wish{.tokens = std::max(1.0, std::floor(std::min<double>(wanted, share)))};
    auto booked = wish.tokens;
    for (const auto& [by, other] : bookings_) {
        booked += by == from ? 0 : other.tokens;
    }
    wish.due = now + time_to_refill(booked - level_, now);
    auto& own = bookings_.try_emplace(from, wish).first->second;
    // An earlier promise is kept if it is better.
    if (wish.due < own.due || own.due <= now) {
        own = wish;
    }
    return std::chrono::ceil<milliseconds>(own.due - now);
}

// --- Both sides ---

void grant_history::add(unsigned count, boot_time now)
{
    while (!grants_.empty() && grants_.front().at + window < now) {
        grants_.pop_front();
    }
    grants_.push_back({.at = now, .count = count});
}

// The smaller one of the rates over the last second and the last window: after a burst,
// the first alone exceeds the rate of the account.
double grant_history::rate(boot_time now) const
{
    auto granted_since = [this](boot_time start) {
        double sum = 0;
        for (const auto& grant : grants_) {
            sum += grant.at >= start ? grant.count : 0;
        }
        return sum;
    };
    return std::min(granted_since(now - std::chrono::seconds(1)),
                    granted_since(now - window) / in_seconds(window));
}

double grant_history::unanswered_budget(boot_time now) const
{
    return rate(now) * in_seconds(unanswered_time);
}

// --- Entry side ---

void entry_tokens::record_arrival(boot_time now)
{
    auto passed = in_seconds(now - demand_at_) / in_seconds(demand_time);
    demand_ = demand_ * std::exp(-passed) + 1 / in_seconds(demand_time);
    demand_at_ = now;
}

operation_step entry_tokens::decide(boot_time now)
{
    if (take(now)) {
        return operation_step::admit;
    }
    if (is_refused(now)) {
        return operation_step::refuse;
    }
    if (silent_since_) {
        return take_unanswered(now) ? operation_step::admit : operation_step::refuse;
    }
    return operation_step::wait;
}

unsigned entry_tokens::held(boot_time now) const
{
    unsigned tokens = 0;
    for (const auto& known : batches_) {
        tokens += known.expires > now ? known.tokens : 0;
    }
    return tokens;
}

bool entry_tokens::take(boot_time now)
{
    std::erase_if(batches_, [now](const auto& known) {
        return known.expires <= now || known.tokens == 0;
    });
    if (batches_.empty()) {
        return false;
    }
    --batches_.front().tokens;
    return true;
}

token_request entry_tokens::request(const account_name& account, unsigned waiting,
                                    boot_time now) const
{
    token_request request{.account = account, .overspent = unreported_};
    if (is_refused(now) || (silent_since_ && now < probe_at_)) {
        return request;
    }
    // The estimate just after an arrival contains that one, which says nothing of others.
    auto demand =
        demand_ * std::exp(-in_seconds(now - demand_at_) / in_seconds(demand_time)) -
        1 / in_seconds(demand_time);
    demand = std::max(0.0, demand);
    auto expected = demand * in_seconds(life_) * ahead_part;
    if (refused_at_ && now - *refused_at_ < careful_time) {
        auto in_life = demand * in_seconds(life_);
        expected = std::min(expected, in_life - careful_deviations * std::sqrt(in_life));
    }
    auto ahead = static_cast<unsigned>(std::clamp(expected, 0.0, max_ahead));
    auto has = held(now);
    bool is_busy = ahead >= busy_ahead;
    bool has_enough = waiting == 0 && (!is_busy || has * 3 >= ahead);
    if (!has_enough && has < waiting + ahead) {
        request.wanted = waiting + ahead - has;
        request.ahead = std::min(ahead, request.wanted);
    }
    return request;
}

void entry_tokens::record_answer(const token_grant& answer, boot_time life,
                                 boot_time sent_at, boot_time now)
{
    life_ = life;
    silent_since_.reset();
    refused_until_.reset();
    ask_again_at_ = now;
    if (answer.granted > 0) {
        batches_.push_back({.tokens = answer.granted, .expires = sent_at + life});
        grants_.add(answer.granted, now);
    }
    if (answer.retry_after.count() > 0) {
        refused_at_ = now;
        refused_until_ = now + answer.retry_after;
        ask_again_at_ = now + std::min(answer.retry_after, max_refusal);
    }
}

void entry_tokens::record_silence(boot_time now)
{
    if (!silent_since_) {
        silent_since_ = now;
        unanswered_rate_ = grants_.rate(now);
        unanswered_budget_ = grants_.unanswered_budget(now);
        unanswered_before_ = unanswered_.size();
    }
    probe_at_ = now + probe_pause;
}

void entry_tokens::forget_home()
{
    refused_until_.reset();
    silent_since_.reset();
}

bool entry_tokens::take_unanswered(boot_time now)
{
    auto silence = now - *silent_since_;
    if (silence > max_silence) {
        return false;
    }
    while (!unanswered_.empty() && unanswered_.front() + window < now) {
        unanswered_.pop_front();
        unanswered_before_ -= unanswered_before_ > 0 ? 1 : 0;
    }
    auto in_window = static_cast<double>(unanswered_.size() + 1);
    auto in_silence = in_window - static_cast<double>(unanswered_before_);
    bool has_room = in_window <= unanswered_budget_ &&
                    in_silence <= unanswered_rate_ * in_seconds(silence) + 1;
    if (has_room) {
        unanswered_.push_back(now);
        ++unreported_;
    }
    return has_room;
}

void entry_tokens::record_reported(unsigned count)
{
    unreported_ -= std::min(unreported_, count);
}

milliseconds entry_tokens::retry_after(boot_time now) const
{
    return is_refused(now) ? std::chrono::ceil<milliseconds>(*refused_until_ - now)
                           : silent_retry;
}

} // namespace papayabridge
