/// \file fleet_model_test.hpp
/// For tests: entries and homes of accounts with simulated time and network, which decide
/// with core/accounts/rate_limit.

#pragma once

#include "rpc/frame.hpp"
#include "session/gate/gate_wire.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <random>

namespace papayabridge {

using namespace std::chrono_literals;

/// Options of a fleet_model.
struct fleet_model_options
{
    unsigned seed = 1;
    std::size_t entries = 71;
    std::map<account_name, client_account> accounts;
    /// Whether the accounts had a limit before the start, so that their homes are new.
    bool has_new_homes = false;
    /// Parts of all messages that are lost or arrive twice.
    double loss = 0;
    double duplication = 0;
    /// Maximum additional delay of a message.
    boot_time jitter = 0ns;
};

/// Each operation is an event; so is the arrival of each message.
class fleet_model
{
public:
    explicit fleet_model(fleet_model_options options)
        : options_(std::move(options)), random_(options_.seed)
    {
        std::vector<entry_id> ids;
        for (std::size_t i = 0; i < options_.entries; ++i) {
            ids.emplace_back("entry-" + std::to_string(i));
        }
        entries_.resize(options_.entries);
        for (const auto& [name, limit] : options_.accounts) {
            auto first = order_homes(name, ids, 1).front();
            auto home = static_cast<std::size_t>(
                std::find(ids.begin(), ids.end(), first) - ids.begin());
            for (auto& entry : entries_) {
                entry.homes[name] = home;
            }
            entries_[home].buckets.emplace(name, options_.has_new_homes
                                                     ? token_bucket(now_)
                                                     : token_bucket::full(limit, now_));
        }
    }

    void at(boot_time when, std::function<void()> action)
    {
        events_.push({.when = when, .order = ++last_order_, .action = std::move(action)});
    }

    void run_until(boot_time end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            auto next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        now_ = end;
    }

    /// Operations of \p account at \p entry, at random times with \p rate a second.
    void add_demand(const account_name& account, std::size_t entry, double rate,
                    boot_time from, boot_time to)
    {
        std::exponential_distribution<double> pause(rate);
        auto next = from + seconds_of(pause(random_));
        if (next < to) {
            at(next, [=, this] {
                arrive(account, entry);
                add_demand(account, entry, rate, next, to);
            });
        }
    }

    /// The same with \p rate in all, divided in proportion to \p weights.
    void add_spread_demand(const account_name& account,
                           const std::vector<double>& weights, double rate,
                           boot_time from, boot_time to)
    {
        auto sum = std::accumulate(weights.begin(), weights.end(), 0.0);
        // A rate of less than one operation in 1,000 s does not fit into the time.
        constexpr double min_rate = 0.001;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            auto part = rate * weights[i] / sum;
            if (part > min_rate) {
                add_demand(account, i, part, from, to);
            }
        }
    }

    /// Entry \p viewer learns now that \p home is the home of \p account.
    void learn_home(const account_name& account, std::size_t viewer, std::size_t home)
    {
        auto& entry = entries_[viewer];
        if (std::exchange(entry.homes[account], home) == home) {
            return;
        }
        entry.buckets.erase(account);
        if (viewer == home) {
            entry.buckets.emplace(account, token_bucket(now_));
        }
        auto& caller = entry.callers[account];
        caller.tokens.forget_home();
        caller.is_asked = false;
        serve_waiting(account, viewer);
    }

    /// No message passes between the entries for which \p is_cut holds.
    void cut_links(std::function<bool(std::size_t, std::size_t)> is_cut)
    {
        is_cut_ = std::move(is_cut);
    }

    /// The entry does nothing until \p until; then it handles what arrived meanwhile.
    void suspend(std::size_t entry, boot_time until)
    {
        entries_[entry].suspended_until = until;
        at(until, [=, this] {
            for (auto& [name, bucket] : entries_[entry].buckets) {
                bucket = token_bucket(now_);
            }
        });
    }

    void set_limit(const account_name& account, client_account limit)
    {
        options_.accounts[account] = limit;
    }

    boot_time now() const { return now_; }
    std::size_t home(const account_name& account) const
    {
        return entries_.front().homes.at(account);
    }
    const std::vector<boot_time>& admitted(const account_name& account)
    {
        return admitted_[account];
    }
    std::size_t refused() const { return refused_; }
    std::size_t refused_at_told_time() const { return broken_promises_; }
    std::chrono::milliseconds longest_told_time() const { return longest_told_; }
    std::size_t messages() const { return messages_; }
    std::size_t bytes() const { return bytes_; }
    /// Sent and received by the entry with the most.
    std::size_t most_bytes_of_an_entry() const
    {
        std::size_t most = 0;
        for (const auto& each : entries_) {
            most = std::max(most, each.bytes);
        }
        return most;
    }

    std::size_t admitted_between(const account_name& account, boot_time from,
                                 boot_time to)
    {
        const auto& times = admitted_[account];
        return static_cast<std::size_t>(
            std::lower_bound(times.begin(), times.end(), to) -
            std::lower_bound(times.begin(), times.end(), from));
    }

    /// The most operations admitted in any window of 5 s.
    std::size_t busiest_window(const account_name& account)
    {
        const auto& times = admitted_[account];
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= 5s) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    struct event
    {
        boot_time when;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    struct caller_side
    {
        entry_tokens tokens;
        unsigned waiting = 0;
        bool is_asked = false;
        std::uint64_t request = 0;
        /// When the home told to come back.
        std::optional<boot_time> told;
    };
    struct entry
    {
        std::map<account_name, std::size_t> homes;
        std::map<account_name, token_bucket> buckets;
        std::map<account_name, caller_side> callers;
        boot_time suspended_until{0};
        /// Sent and received.
        std::size_t bytes = 0;
    };

    static boot_time seconds_of(double seconds)
    {
        return std::chrono::duration_cast<boot_time>(
            std::chrono::duration<double>(seconds));
    }

    void arrive(const account_name& account, std::size_t at_entry)
    {
        if (now_ < entries_[at_entry].suspended_until) {
            return;
        }
        entries_[at_entry].callers[account].tokens.record_arrival(now_);
        handle(account, at_entry);
    }

    void handle(const account_name& account, std::size_t at_entry)
    {
        auto& caller = entries_[at_entry].callers[account];
        auto step = caller.tokens.decide(now_);
        if (step == operation_step::wait) {
            ++caller.waiting;
            ask(account, at_entry, caller.waiting);
            if (caller.is_asked) {
                return;
            }
            --caller.waiting;
            step = caller.tokens.decide(now_);
        }
        if (step == operation_step::admit) {
            admitted_[account].push_back(now_);
            ask(account, at_entry, 0);
        } else {
            ++refused_;
            ask(account, at_entry, 1);
        }
    }

    void serve_waiting(const account_name& account, std::size_t at_entry)
    {
        auto count = std::exchange(entries_[at_entry].callers[account].waiting, 0);
        for (unsigned i = 0; i < count; ++i) {
            handle(account, at_entry);
        }
    }

    token_grant grant(const token_request& request, std::size_t from, std::size_t home)
    {
        auto bucket = entries_[home].buckets.find(request.account);
        if (bucket == entries_[home].buckets.end()) {
            return {};
        }
        return bucket->second.grant(options_.accounts.at(request.account), from, request,
                                    now_);
    }

    void record(const token_request& request, const token_grant& answer, std::size_t from,
                boot_time sent_at)
    {
        auto& caller = entries_[from].callers[request.account];
        if (answer.granted == 0 && answer.retry_after == 0ms) {
            caller.tokens.record_silence(now_);
            return;
        }
        bool is_punctual =
            caller.told && sent_at >= *caller.told && now_ <= *caller.told + 30ms;
        bool is_broken = is_punctual && answer.granted == 0;
        broken_promises_ += is_broken ? 1 : 0;
        caller.told.reset();
        if (answer.granted == 0) {
            caller.told = now_ + answer.retry_after;
            longest_told_ = std::max(longest_told_, answer.retry_after);
        }
        caller.tokens.record_reported(request.overspent);
        caller.tokens.record_answer(
            answer, token_life(options_.accounts.at(request.account)), sent_at, now_);
    }

    void ask(const account_name& account, std::size_t from, unsigned waiting)
    {
        auto& caller = entries_[from].callers[account];
        auto request = caller.tokens.request(account, waiting, now_);
        if (caller.is_asked || request.wanted == 0) {
            return;
        }
        auto home = entries_[from].homes[account];
        auto sent_at = now_;
        if (home == from) {
            record(request, grant(request, from, home), from, sent_at);
            return;
        }
        caller.is_asked = true;
        auto number = ++caller.request;
        send(encode({.call = gate_call::grant_operations, .token_requests = {request}}),
             from, home, [=, this] {
                 auto answer = grant(request, from, home);
                 gate_response response{.answer = statement_answer(),
                                        .token_grants = {answer}};
                 send(encode(response), home, from, [=, this] {
                     auto& asker = entries_[from].callers[account];
                     if (asker.is_asked && asker.request == number) {
                         asker.is_asked = false;
                         record(request, answer, from, sent_at);
                         serve_waiting(account, from);
                     }
                 });
             });
        at(now_ + answer_time, [=, this] {
            auto& asker = entries_[from].callers[account];
            if (asker.is_asked && asker.request == number) {
                asker.is_asked = false;
                asker.tokens.record_silence(now_);
                serve_waiting(account, from);
            }
        });
    }

    // A third of the entries is in each failure domain, the last one in another region.
    boot_time latency(std::size_t from, std::size_t to) const
    {
        auto one = from % 3;
        auto other = to % 3;
        return one == other ? 200us : one == 2 || other == 2 ? 8ms : 1150us;
    }

    void send(const std::string& payload, std::size_t from, std::size_t to,
              std::function<void()> deliver)
    {
        frame message;
        message.payload = payload;
        ++messages_;
        bytes_ += message.size();
        entries_[from].bytes += message.size();
        entries_[to].bytes += message.size();
        std::uniform_real_distribution<double> part(0, 1);
        auto copies = part(random_) < options_.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            bool is_lost =
                part(random_) < options_.loss || (is_cut_ && is_cut_(from, to));
            auto delay =
                latency(from, to) +
                boot_time(static_cast<std::int64_t>(
                    part(random_) * static_cast<double>(options_.jitter.count())));
            if (!is_lost) {
                at(now_ + delay, [=, this] { deliver_to(to, deliver); });
            }
        }
    }

    void deliver_to(std::size_t to, const std::function<void()>& deliver)
    {
        auto until = entries_[to].suspended_until;
        if (now_ < until) {
            at(until, deliver);
        } else {
            deliver();
        }
    }

    fleet_model_options options_;
    std::mt19937 random_;
    std::vector<entry> entries_;
    std::priority_queue<event> events_;
    std::uint64_t last_order_ = 0;
    boot_time now_ = 100s;
    std::function<bool(std::size_t, std::size_t)> is_cut_;
    std::map<account_name, std::vector<boot_time>> admitted_;
    std::size_t refused_ = 0;
    std::size_t broken_promises_ = 0;
    std::chrono::milliseconds longest_told_{0};
    std::size_t messages_ = 0;
    std::size_t bytes_ = 0;
};

/// What the rule allows in any window of 5 s.
inline double allowed_in_window(const client_account& limit)
{
    return (limit.operations_per_second * 5 + limit.burst) * 1.1 + 20;
}

} // namespace papayabridge
