#include "history.hpp"

namespace papayabridge {

namespace {

std::size_t occurrences(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size()))
    {
        ++count;
    }
    return count;
}

} // namespace

std::uint64_t history_faults::total() const
{
    return lost + doubled + ran_though_refused + own_write_missing + older_than_stated +
           mixed;
}

void history::wrote(const load_key& key, const std::string& tag, bool served,
                    ran_state ran, time_point now)
{
    writes_[key].push_back(
        {.tag = tag, .acknowledged = served, .ran = ran, .ended = now});
}

void history::check_age(const load_key& key, const std::string& value, time_point as_of)
{
    const auto found = writes_.find(key);
    if (found == writes_.end()) {
        return;
    }
    for (const auto& each : found->second) {
        if (each.acknowledged && each.ended < as_of &&
            value.find(each.tag) == std::string::npos) {
            ++faults_.older_than_stated;
            return;
        }
    }
}

void history::check_own(const std::string& value, const std::string& own_tag)
{
    if (value.find(own_tag) == std::string::npos) {
        ++faults_.own_write_missing;
    }
}

void history::check_final(const load_key& key, const std::string& value)
{
    for (const auto& each : writes_[key]) {
        const auto count = occurrences(value, each.tag);
        if (count > 1) {
            ++faults_.doubled;
        }
        if (each.acknowledged && count == 0) {
            ++faults_.lost;
        }
        if (each.ran == ran_state::no && count > 0) {
            ++faults_.ran_though_refused;
        }
    }
}

std::vector<load_key> history::keys() const
{
    std::vector<load_key> keys;
    for (const auto& [key, records] : writes_) {
        keys.push_back(key);
    }
    return keys;
}

Json::Value history::summary() const
{
    Json::UInt64 acknowledged = 0;
    Json::UInt64 not_run = 0;
    Json::UInt64 unknown = 0;
    for (const auto& [key, records] : writes_) {
        for (const auto& each : records) {
            if (each.acknowledged) {
                ++acknowledged;
            } else if (each.ran == ran_state::no) {
                ++not_run;
            } else {
                ++unknown;
            }
        }
    }
    Json::Value summary(Json::objectValue);
    summary["writes_acknowledged"] = acknowledged;
    summary["writes_not_run"] = not_run;
    summary["writes_unknown"] = unknown;
    summary["keys_unverified"] = Json::UInt64(unverified);
    summary["lost"] = Json::UInt64(faults_.lost);
    summary["doubled"] = Json::UInt64(faults_.doubled);
    summary["ran_though_refused"] = Json::UInt64(faults_.ran_though_refused);
    summary["own_write_missing"] = Json::UInt64(faults_.own_write_missing);
    summary["older_than_stated"] = Json::UInt64(faults_.older_than_stated);
    summary["mixed"] = Json::UInt64(faults_.mixed);
    return summary;
}

} // namespace papayabridge
