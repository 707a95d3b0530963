#include "member_announcement.hpp"

#include <algorithm>
#include <array>
#include <papayabridge/json.hpp>
#include <papayabridge/settings.hpp>

namespace papayabridge {

namespace {

constexpr std::array announced_counts{"group_size", "slots", "connections"};
constexpr std::uint64_t max_announced_count = 1'000'000;

bool has_usable_endpoint(const Json::Value& announcement)
{
    auto endpoint = parse_endpoint(text_of(announcement, "endpoint"));
    return endpoint && endpoint->port() != 0;
}

// Whether each count that the announcement tells can be used.
bool has_usable_counts(const Json::Value& announcement)
{
    return std::all_of(announced_counts.begin(), announced_counts.end(),
                       [&](const char* name) {
                           auto count = number_of(announcement, name);
                           return !announcement.isMember(name) ||
                                  (count >= 1 && count <= max_announced_count);
                       });
}

} // namespace

result<announce_member> decode_member_announcement(std::string_view text)
{
    auto parsed = parse_json(text);
    if (!parsed || text_of(parsed.value(), "member").empty() ||
        !has_usable_endpoint(parsed.value()) || !has_usable_counts(parsed.value()))
    {
        return fail(error_kind::bad_request,
                    "an announcement needs service, database, member, endpoint, and "
                    "counts from 1 to 1000000");
    }
    const auto& body = parsed.value();
    announce_member change;
    change.member.id = member_id(text_of(body, "member"));
    change.database = {service_name(text_of(body, "service")),
                       database_name(text_of(body, "database"))};
    change.group_size = static_cast<unsigned>(number_of(body, "group_size", 1));
    change.member.endpoint = text_of(body, "endpoint");
    change.member.domain = domain_name(text_of(body, "domain"));
    change.member.region = region_name(text_of(body, "region"));
    change.member.slots = static_cast<unsigned>(number_of(body, "slots", 1));
    change.member.connections = static_cast<unsigned>(number_of(body, "connections", 1));
    change.member.admitted = !body.isMember("complete") || flag_of(body, "complete");
    if (text_of(body, "condition") == "leaving") {
        change.member.condition = member_condition::leaving;
    }
    return change;
}

} // namespace papayabridge
