#include <papayabridge/links.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// How often a cut link is looked at again.
constexpr std::chrono::milliseconds cut_poll{5};
constexpr std::uint64_t highest_rate = 10'000'000'000;
constexpr std::uint64_t highest_latency_us = 10'000'000;

bool cuts_sending(link_cut cut)
{
    return cut == link_cut::send || cut == link_cut::both;
}
bool cuts_receiving(link_cut cut)
{
    return cut == link_cut::receive || cut == link_cut::both;
}

net::awaitable<void> sleep_until(time_point wake)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_at(wake);
    co_await timer.async_wait(net::use_awaitable);
}

// Books `bytes` on the emulated bandwidth and returns how long they queue.
std::chrono::nanoseconds reserve(link& way, std::size_t bytes)
{
    if (way.bytes_per_second == 0) {
        return {};
    }
    auto now = steady_clock::now().time_since_epoch();
    auto now_ns = std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
    auto cost =
        static_cast<std::int64_t>(bytes * 1'000'000'000ULL / way.bytes_per_second);
    auto busy = way.busy_until.load();
    std::int64_t until = 0;
    do {
        until = std::max(busy, now_ns) + cost;
    } while (!way.busy_until.compare_exchange_weak(busy, until));
    return std::chrono::nanoseconds(until - now_ns);
}

net::awaitable<bool> cross(link& way, bool (*is_cut)(link_cut),
                           std::chrono::nanoseconds latency, std::size_t bytes,
                           time_point deadline)
{
    while (is_cut(way.cut)) {
        auto now = steady_clock::now();
        if (now >= deadline) {
            co_return false;
        }
        co_await sleep_until(std::min(now + cut_poll, deadline));
    }
    auto wait = latency + reserve(way, bytes);
    if (wait.count() > 0) {
        auto arrival = steady_clock::now() + wait;
        co_await sleep_until(std::min<time_point>(arrival, deadline));
    }
    co_return steady_clock::now() < deadline;
}

} // namespace

std::string_view to_string(traffic_cause cause) noexcept
{
    constexpr std::array<std::string_view, traffic_cause_count> names{
        "control", "statement", "position", "probe"};
    return names[static_cast<std::size_t>(cause)];
}

link_table::link_table()
{
    links_.push_back(std::make_unique<link>());
}

std::shared_ptr<link_table> link_table::read(settings_section& section)
{
    auto table = std::make_shared<link_table>();
    for (auto& item : section.list("links")) {
        auto way = std::make_unique<link>();
        way->prefix = item.text("prefix");
        way->domain = domain_name(item.text("domain"));
        way->region = region_name(item.text("region"));
        way->one_way_latency = std::chrono::microseconds(
            item.number("one_way_us", {0, highest_latency_us}, 0));
        way->bytes_per_second = item.number("bytes_per_second", {0, highest_rate}, 0);
        item.report_unknown_members();
        table->links_.push_back(std::move(way));
    }
    return table;
}

link& link_table::link_to(const tcp::endpoint& remote)
{
    auto text = remote.address().to_string();
    link* best = links_.front().get();
    for (const auto& candidate : links_) {
        if (candidate->prefix.size() > best->prefix.size() &&
            text.compare(0, candidate->prefix.size(), candidate->prefix) == 0)
        {
            best = candidate.get();
        }
    }
    return *best;
}

void link_table::set_cut(const domain_name& domain, link_cut cut)
{
    for (const auto& way : links_) {
        if (domain.empty() || way->domain == domain) {
            way->cut = cut;
        }
    }
}

net::awaitable<bool> link_table::pace_send(link& way, traffic_cause cause,
                                           std::size_t bytes, time_point deadline)
{
    way.sent[static_cast<std::size_t>(cause)] += bytes;
    co_return co_await cross(way, cuts_sending, way.one_way_latency, bytes, deadline);
}

net::awaitable<bool> link_table::pace_receive(link& way, traffic_cause cause,
                                              std::size_t bytes, time_point deadline)
{
    count_received(way, cause, bytes);
    co_return co_await cross(way, cuts_receiving, way.one_way_latency, bytes, deadline);
}

net::awaitable<bool> link_table::pace_receive_piece(link& way, traffic_cause cause,
                                                    std::size_t bytes,
                                                    time_point deadline)
{
    count_received(way, cause, bytes);
    co_return co_await cross(way, cuts_receiving, {}, bytes, deadline);
}

} // namespace papayabridge
