/// \file limit_report.hpp
/// Metrics and log lines of the limits of client accounts.

#pragma once

#include <papayabridge/ids.hpp>
#include <papayabridge/log.hpp>
#include <papayabridge/metrics.hpp>

namespace papayabridge {

/// The counters of one account. Beyond a number of accounts in one run of the process,
/// they share the label "others".
struct account_counters
{
    static account_counters of(const account_name& account);

    counter& admitted;
    counter& refused;
};

/// The counters of all accounts together.
struct limit_counters
{
    static limit_counters& process();

    /// Messages to homes of accounts.
    counter& requests;
    /// Of them, those that were not answered in time.
    counter& unanswered_requests;
    /// Tokens granted as the home of accounts.
    counter& granted;
    /// Operations admitted without a token while a home was silent.
    counter& without_token;
};

} // namespace papayabridge
