// The part of database_shard that watches the members of a primary served here: their
// positions, the lease, a lost primary, members that do not follow yet.

#include "database_shard.hpp"

#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

// How long a member may hold a report back while nothing changes, and how much longer
// its answer may take. The primary is asked more often: its loss stops writes.
constexpr std::chrono::milliseconds replica_poll_wait{300};
constexpr std::chrono::milliseconds primary_poll_wait{150};
constexpr std::chrono::milliseconds poll_patience{250};
constexpr std::chrono::milliseconds first_retry{30};
constexpr std::chrono::milliseconds longest_retry{500};
constexpr unsigned failures_of_a_lost_primary = 3;
constexpr std::size_t longest_report = 4096;

std::string position_target(position after, term under, std::chrono::milliseconds wait)
{
    // "after" is the lowest position that is news.
    position news{after.term, after.index.next()};
    return "/control/position?after=" + news.str() +
           "&wait_ms=" + std::to_string(wait.count()) +
           "&term=" + std::to_string(under.value());
}

std::chrono::milliseconds retry_after(unsigned failures)
{
    auto wait = first_retry * (1U << std::min(failures, 5U));
    return std::min(wait, longest_retry);
}

} // namespace

net::awaitable<void> database_shard::watch_member(member_id id,
                                                  std::shared_ptr<quorum_tracker> at)
{
    auto self = shared_from_this();
    http_pool pool(options_.links);
    unsigned failures = 0;
    while (coverage_ == at) {
        auto known = record_.members.find(id);
        if (known == record_.members.end()) {
            break;
        }
        // A copy: the record may change while the member is asked.
        auto member = known->second;
        bool answered = co_await poll_member(pool, member, at);
        if (coverage_ != at) {
            break;
        }
        if (answered) {
            failures = 0;
            continue;
        }
        ++failures;
        note_silence(member, *at, failures);
        co_await pause_for(retry_after(failures));
    }
}

net::awaitable<bool> database_shard::poll_member(http_pool& pool,
                                                 const member_record& member,
                                                 std::shared_ptr<quorum_tracker> at)
{
    auto endpoint = parse_endpoint(member.endpoint);
    if (!endpoint) {
        co_return false;
    }
    auto asked_at = steady_clock::now();
    auto held = at->last_position(member.id);
    auto longest = is_primary(member.id) ? primary_poll_wait : replica_poll_wait;
    // The first report is wanted at once: it is what the lease waits for.
    auto wait = at->has_report(member.id) ? longest : std::chrono::milliseconds(0);
    auto message = make_request(http::verb::get, position_target(held, at->term(), wait));
    auto answer =
        co_await pool.call(*endpoint, std::move(message), longest_report,
                           asked_at + wait + poll_patience, traffic_cause::probe);
    if (!answer || answer.value().result_int() != 200) {
        // A member that accepted a higher term answers 409: the lease runs out by itself.
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
        // One that started again is a replica of nobody, with or without its data: only a
        // new term can say who goes on.
        bool leads =
            accepted == at->term() && text_of(report.value(), "role") == "primary";
        if (!leads) {
            co_return false;
        }
    } else if (accepted < at->term() || !follows_primary(report.value())) {
        co_await order_to_follow(pool, *endpoint, at->term());
        co_return true;
    }
    bool complete =
        !report.value().isMember("complete") || flag_of(report.value(), "complete");
    if (!complete || !member.admitted) {
        // It catches up, or the keepers have yet to admit it; until then it proves
        // nothing.
        co_await pause_for(first_retry);
        co_return true;
    }
    bool was_leased = at->has_lease(steady_clock::now());
    at->record_report(member.id, *reached, asked_at);
    if (!was_leased && at->has_lease(steady_clock::now())) {
        options_.events->record({.kind = event_kind::lease_gained,
                                 .database = record_.key.str(),
                                 .detail = "a majority confirmed term " +
                                           std::to_string(at->term().value())});
    }
    changed_.notify();
    co_return true;
}

// A member that started anew follows nobody until it is told to.
bool database_shard::follows_primary(const Json::Value& report) const
{
    auto primary = record_.members.find(record_.primary);
    return primary == record_.members.end() ||
           text_of(report, "primary") == primary->second.endpoint;
}

net::awaitable<void> database_shard::order_to_follow(http_pool& pool,
                                                     tcp::endpoint member, term under)
{
    auto primary = record_.members.find(record_.primary);
    if (primary == record_.members.end() || record_.term != under ||
        parse_endpoint(primary->second.endpoint) == member)
    {
        co_await pause_for(first_retry);
        co_return;
    }
    Json::Value order;
    order["term"] = Json::UInt64(under.value());
    order["primary"] = primary->second.endpoint;
    auto message = make_request(http::verb::post, "/control/follow", to_json(order));
    auto answered =
        co_await pool.call(member, std::move(message), longest_report,
                           steady_clock::now() + poll_patience, traffic_cause::control);
    if (!answered) {
        co_await pause_for(first_retry);
    }
}

void database_shard::note_silence(const member_record& member, const quorum_tracker& at,
                                  unsigned failures)
{
    if (failures == failures_of_a_lost_primary) {
        options_.events->record(
            {.kind = event_kind::member_unreachable,
             .database = record_.key.str(),
             .detail = member.id.str() + " does not answer its gate"});
    }
    bool due = failures >= failures_of_a_lost_primary &&
               failures % failures_of_a_lost_primary == 0;
    if (due && is_primary(member.id) && record_.group_size > 1 && !record_.pending) {
        options_.hooks.suspect_primary(record_.key, at.term());
    }
}

} // namespace papayabridge
