/// \file links.hpp
/// The network links of one process: counts bytes by cause and can emulate latency,
/// limited bandwidth and partitions for tests on one machine.
///
/// A link is selected by the prefix of the remote address. Without emulation it only
/// counts.

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

/// The purpose of traffic on a link. Closed list, used as a metrics label.
enum class traffic_cause
{
    control,
    statement,
    position,
    probe
};
inline constexpr std::size_t traffic_cause_count = 4;
/// The metrics label of \p cause.
std::string_view to_string(traffic_cause cause) noexcept;

/// The directions of a link that are cut.
enum class link_cut
{
    none,
    send,
    receive,
    both
};

/// A link: its remote side, emulation parameters and byte counts.
struct link
{
    /// Prefix of the remote addresses, such as "127.0.2.".
    std::string prefix;
    /// Failure domain and region of the remote side.
    domain_name domain;
    region_name region;
    /// Emulated one-way latency; 0 for none.
    std::chrono::microseconds one_way_latency{0};
    /// Emulated bandwidth; 0 for no limit.
    std::uint64_t bytes_per_second = 0;
    std::atomic<link_cut> cut{link_cut::none};
    std::array<std::atomic<std::uint64_t>, traffic_cause_count> sent{};
    std::array<std::atomic<std::uint64_t>, traffic_cause_count> received{};
    /// When the emulated bandwidth is available again, in nanoseconds of the steady
    /// clock.
    std::atomic<std::int64_t> busy_until{0};
};

/// All links of a process. Thread-safe after construction.
class link_table
{
public:
    /// Makes a table with only the catch-all link, whose prefix is empty.
    link_table();
    /// Makes a table from the optional list "links" of \p section.
    static std::shared_ptr<link_table> read(settings_section& section);

    /// The link to \p remote: the one with the longest matching prefix.
    link& link_to(const tcp::endpoint& remote);
    const std::vector<std::unique_ptr<link>>& links() const noexcept { return links_; }
    /// Sets the cut directions of every link to \p domain; of all links if it is empty.
    void set_cut(const domain_name& domain, link_cut cut);

    /// Counts \p bytes to be sent and waits for the emulated transfer time. False if the
    /// transfer does not complete before \p deadline, for instance while sending is cut.
    net::awaitable<bool> pace_send(link& way, traffic_cause cause, std::size_t bytes,
                                   time_point deadline);
    /// Does the same for received bytes.
    net::awaitable<bool> pace_receive(link& way, traffic_cause cause, std::size_t bytes,
                                      time_point deadline);
    /// Does the same for a later piece of a message: waits for the bandwidth, but not for
    /// the latency again.
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
