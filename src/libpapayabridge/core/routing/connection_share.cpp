#include "connection_share.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// Connections per member that are left to keepers and to entries that join.
constexpr unsigned reserved_connections = 2;
// Entries use this many quarters of the others. For three more seconds a member counts
// the connections of a machine that lost power, while the entry's next run opens its own.
constexpr std::size_t used_quarters = 3;
// Smallest share of which one connection is reserved for the most urgent rank.
constexpr unsigned min_share_with_reserve = 3;

} // namespace

unsigned connection_share(unsigned max_connections, std::size_t entry_count)
{
    auto reserved = std::min(max_connections - 1, reserved_connections);
    auto usable = (max_connections - reserved) * used_quarters / 4;
    return static_cast<unsigned>(std::max<std::size_t>(1, usable / entry_count));
}

// Without the reserved connection, the most urgent statements would wait until a
// transaction of a less urgent one ends.
bool may_use_connection(unsigned share, unsigned in_use, unsigned rank)
{
    auto reserved_for_urgent = rank == 0 || share < min_share_with_reserve ? 0U : 1U;
    return in_use + reserved_for_urgent < share;
}

} // namespace papayabridge
