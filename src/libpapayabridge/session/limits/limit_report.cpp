#include "limit_report.hpp"

#include <set>

namespace papayabridge {

namespace {

// Limits the number of metric labels.
constexpr std::size_t max_account_labels = 32;

// Used on the control thread only, on which all limits are kept.
std::string label_of(const account_name& account)
{
    static std::set<account_name> known;
    bool is_known = known.count(account) != 0;
    if (!is_known && known.size() < max_account_labels) {
        known.insert(account);
        is_known = true;
    }
    return is_known ? account.str() : "others";
}

} // namespace

account_counters account_counters::of(const account_name& account)
{
    auto label = label_of(account);
    auto& all = metrics::process();
    return {.admitted = all.counter_of("papaya_account_operations_total",
                                       {{"account", label}, {"outcome", "admitted"}}),
            .refused = all.counter_of("papaya_account_operations_total",
                                      {{"account", label}, {"outcome", "refused"}})};
}

limit_counters& limit_counters::process()
{
    auto& all = metrics::process();
    static limit_counters counters{
        .requests = all.counter_of("papaya_token_requests_total"),
        .unanswered_requests = all.counter_of("papaya_token_requests_unanswered_total"),
        .granted = all.counter_of("papaya_tokens_granted_total"),
        .without_token = all.counter_of("papaya_operations_without_token_total")};
    return counters;
}

} // namespace papayabridge
