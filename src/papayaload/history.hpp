/// \file history.hpp
/// What was written, and whether the answers agree with it.
///
/// Each write appends a tag of its own to a key, so that a value lists the writes that
/// ran: a tag that is missing was lost, one that is there twice ran twice.

#pragma once

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// One key of one database.
struct load_key
{
    database_name database;
    std::string name;

    friend auto operator<=>(const load_key&, const load_key&) = default;
};

/// Answers that must not occur.
struct history_faults
{
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    /// Refused as not run, but it ran.
    std::uint64_t ran_though_refused = 0;
    std::uint64_t own_write_missing = 0;
    std::uint64_t older_than_stated = 0;
    std::uint64_t mixed = 0;

    std::uint64_t total() const;
};

/// Records writes and checks values. Not thread-safe.
class history
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Write \p tag to \p key ended at \p now.
    void wrote(const load_key& key, const std::string& tag, bool served, ran_state ran,
               time_point now);
    /// A read of \p key answered \p value, which must hold all that was acknowledged
    /// before \p as_of.
    void check_age(const load_key& key, const std::string& value, time_point as_of);
    /// A session that wrote \p own_tag got \p value.
    void check_own(const std::string& value, const std::string& own_tag);
    void mixed() { ++faults_.mixed; }
    /// Checks the last value of \p key.
    void check_final(const load_key& key, const std::string& value);

    /// The keys that were written.
    std::vector<load_key> keys() const;
    const history_faults& faults() const noexcept { return faults_; }
    /// Keys, writes by outcome, and the faults.
    Json::Value summary() const;
    /// Final values that were not to be read.
    std::uint64_t unverified = 0;

private:
    struct write_record
    {
        std::string tag;
        bool acknowledged = false;
        ran_state ran = ran_state::unknown;
        time_point ended;
    };

    std::map<load_key, std::vector<write_record>> writes_;
    history_faults faults_;
};

} // namespace papayabridge
