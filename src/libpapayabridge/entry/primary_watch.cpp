// Member functions of database_shard that poll the members while the primary is served
// here. They update positions and the lease, report a lost primary, and order members to
// follow the primary.

#include "database_shard.hpp"

#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

// A member may delay its report by the poll wait while its position is unchanged; the
// grace is added for the answer. The primary is polled more often, as its loss stops
// writes.
constexpr std::chrono::milliseconds replica_poll_wait{300};
constexpr std::chrono::milliseconds primary_poll_wait{150};
constexpr std::chrono::milliseconds poll_answer_grace{250};
constexpr std::chrono::milliseconds min_retry_delay{30};
constexpr std::chrono::milliseconds max_retry_delay{500};
constexpr unsigned failures_until_suspected = 3;
constexpr std::size_t max_report_bytes = 4096;

std::string position_query(position after, term under, std::chrono::milliseconds wait)
{
    // The member treats "after" as the lowest position that it reports at once.
    position next{after.term, after.index.next()};
    return "/control/position?after=" + next.str() +
           "&wait_ms=" + std::to_string(wait.count()) +
           "&term=" + std::to_string(under.value());
}

std::chrono::milliseconds retry_delay(unsigned failures)
{
    auto wait = min_retry_delay * (1U << std::min(failures, 5U));
    return std::min(wait, max_retry_delay);
}

} // namespace

net::awaitable<void>
database_shard::watch_member(member_id id, std::shared_ptr<quorum_tracker> expected)
{
    auto self = shared_from_this();
    http_pool pool(options_.links);
    unsigned failures = 0;
    while (quorum_ == expected) {
        auto known = record_.members.find(id);
        if (known == record_.members.end()) {
            break;
        }
        // A copy, as the record may change during the poll.
        auto member = known->second;
        bool answered = co_await poll_member(pool, member, expected);
        if (quorum_ != expected) {
            break;
        }
        if (answered) {
            failures = 0;
            continue;
        }
        ++failures;
        handle_failed_poll(member, *expected, failures);
        co_await pause_for(retry_delay(failures));
    }
}

net::awaitable<bool> database_shard::poll_member(http_pool& pool,
                                                 const member_record& member,
                                                 std::shared_ptr<quorum_tracker> expected)
{
    auto endpoint = parse_endpoint(member.endpoint);
    if (!endpoint) {
        co_return false;
    }
    auto asked_at = steady_clock::now();
    auto held = expected->last_position(member.id);
    auto max_wait = is_primary(member.id) ? primary_poll_wait : replica_poll_wait;
    // No wait for the first report, as the lease depends on it.
    auto wait = expected->has_report(member.id) ? max_wait : std::chrono::milliseconds(0);
    auto message =
        make_request(http::verb::get, position_query(held, expected->term(), wait));
    auto answer =
        co_await pool.call(*endpoint, std::move(message), max_report_bytes,
                           asked_at + wait + poll_answer_grace, traffic_cause::probe);
    if (!answer || answer.value().result_int() != 200) {
        // A member that accepted a higher term answers 409. Without its reports the lease
        // expires.
        co_return false;
    }
    auto report = parse_json(answer.value().body());
    if (!report) {
        co_return false;
    }
    auto reached = parse_position(text_of(report.value(), "position"));
    term accepted(number_of(report.value(), "term"));
    if (!reached) {
        co_return false;
    }
    if (is_primary(member.id)) {
        // A primary that restarted, with or without its data, comes back as a replica
        // that follows no member. Only a new term can choose the next primary.
        bool leads =
            accepted == expected->term() && text_of(report.value(), "role") == "primary";
        if (!leads) {
            co_return false;
        }
    } else if (accepted < expected->term() || !follows_primary(report.value())) {
        co_await send_follow_order(pool, *endpoint, expected->term());
        co_return true;
    }
    bool complete =
        !report.value().isMember("complete") || flag_of(report.value(), "complete");
    if (!complete || !member.admitted) {
        // The member still catches up or is not yet admitted by the keepers. Until then
        // it does not count towards a majority.
        co_await pause_for(min_retry_delay);
        co_return true;
    }
    bool was_leased = expected->has_lease(steady_clock::now());
    expected->record_report(member.id, *reached, asked_at);
    if (!was_leased && expected->has_lease(steady_clock::now())) {
        options_.events->record({.kind = event_kind::lease_gained,
                                 .database = record_.key.str(),
                                 .detail = "a majority confirmed term " +
                                           std::to_string(expected->term().value())});
    }
    changed_.notify();
    co_return true;
}

// A member that restarted follows no primary until it is ordered to.
bool database_shard::follows_primary(const Json::Value& report) const
{
    auto primary = record_.members.find(record_.primary);
    return primary == record_.members.end() ||
           text_of(report, "primary") == primary->second.endpoint;
}

net::awaitable<void> database_shard::send_follow_order(http_pool& pool,
                                                       tcp::endpoint member, term under)
{
    auto primary = record_.members.find(record_.primary);
    if (primary == record_.members.end() || record_.term != under ||
        parse_endpoint(primary->second.endpoint) == member)
    {
        co_await pause_for(min_retry_delay);
        co_return;
    }
    Json::Value order;
    order["term"] = Json::UInt64(under.value());
    order["primary"] = primary->second.endpoint;
    auto message = make_request(http::verb::post, "/control/follow", to_json(order));
    auto answered = co_await pool.call(member, std::move(message), max_report_bytes,
                                       steady_clock::now() + poll_answer_grace,
                                       traffic_cause::control);
    if (!answered) {
        co_await pause_for(min_retry_delay);
    }
}

void database_shard::handle_failed_poll(const member_record& member,
                                        const quorum_tracker& quorum, unsigned failures)
{
    if (failures == failures_until_suspected) {
        options_.events->record(
            {.kind = event_kind::member_unreachable,
             .database = record_.key.str(),
             .detail = member.id.str() + " does not answer its gate"});
    }
    bool report_due =
        failures >= failures_until_suspected && failures % failures_until_suspected == 0;
    if (report_due && is_primary(member.id) && record_.group_size > 1 && !record_.pending)
    {
        options_.hooks.suspect_primary(record_.key, quorum.term());
    }
}

} // namespace papayabridge
