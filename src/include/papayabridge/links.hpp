/// \file links.hpp
/// The network links of one process: bytes counted by cause, and emulated latency,
/// bandwidth and cuts for tests on one machine.
///
/// Links are told apart by the leading text of the remote address. Without emulation a
/// link only counts.

#pragma once

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <papayabridge/ids.hpp>
#include <papayabridge/settings.hpp>
#include <shared_mutex>
#include <string>
#include <vector>

namespace papayabridge {

namespace net = boost::asio;
using tcp = net::ip::tcp;
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;

/// Why bytes cross a link. Closed list, used as a metrics label.
enum class traffic_cause
{
    control,
    statement,
    position,
    probe
};
inline constexpr std::size_t traffic_cause_count = 4;
/// The cause as a lower-case word.
std::string_view to_string(traffic_cause cause) noexcept;

/// Which directions of a link are cut.
enum class link_cut
{
    none,
    send,
    receive,
    both
};

/// One link: where it leads, how it is emulated, what crossed it.
struct link
{
    /// Leading text of remote addresses, such as "127.0.2.".
    std::string prefix;
    /// Failure domain and region of the far side.
    domain_name domain;
    region_name region;
    /// Emulated one-way latency; 0 for none.
    std::chrono::microseconds one_way_latency{0};
    /// Emulated bandwidth in bytes a second; 0 for no limit.
    std::uint64_t bytes_per_second = 0;
    std::atomic<link_cut> cut{link_cut::none};
    std::array<std::atomic<std::uint64_t>, traffic_cause_count> sent{};
    std::array<std::atomic<std::uint64_t>, traffic_cause_count> received{};
    /// When the emulated bandwidth is free again; nanoseconds of the steady clock.
    std::atomic<std::int64_t> busy_until{0};
};

/// All links of one process. Thread-safe after construction.
class link_table
{
public:
    /// A table with only the catch-all link.
    link_table();
    /// Reads the optional list "links" of \p section.
    static std::shared_ptr<link_table> read(settings_section& section);

    /// The link that leads to \p remote: the longest prefix that matches.
    link& link_to(const tcp::endpoint& remote);
    const std::vector<std::unique_ptr<link>>& links() const noexcept { return links_; }
    /// Cuts or heals every link whose domain is \p domain; "" means all of them.
    void set_cut(const domain_name& domain, link_cut cut);

    /// Waits as long as \p bytes take to cross to the far side. False if they cannot
    /// cross before \p deadline, as while sending is cut.
    net::awaitable<bool> pace_send(link& way, traffic_cause cause, std::size_t bytes,
                                   time_point deadline);
    /// The same for bytes that come from the far side.
    net::awaitable<bool> pace_receive(link& way, traffic_cause cause, std::size_t bytes,
                                      time_point deadline);
    /// The same for a further piece of a message that is on its way: it waits for the
    /// bandwidth, but not again for the latency.
    net::awaitable<bool> pace_receive_piece(link& way, traffic_cause cause,
                                            std::size_t bytes, time_point deadline);
    /// Counts received bytes without waiting.
    static void count_received(link& way, traffic_cause cause, std::size_t bytes) noexcept
    {
        way.received[static_cast<std::size_t>(cause)] += bytes;
    }

private:
    std::vector<std::unique_ptr<link>> links_;
};

} // namespace papayabridge
