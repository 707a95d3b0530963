#include "connection_share.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// A part of each member's connections is left to keepers and to entries that join.
constexpr unsigned spare_connections = 2;
// Of the others, entries use so many of four: a member counts those of a machine without
// power for three seconds more, while the next run needs its own.
constexpr std::size_t used_of_four = 3;
// From this share on, one connection is left to the most urgent rank.
constexpr unsigned least_share_with_reserve = 3;

} // namespace

unsigned connection_share(unsigned most_connections, std::size_t entries)
{
    auto spare = std::min(most_connections - 1, spare_connections);
    auto used = (most_connections - spare) * used_of_four / 4;
    return static_cast<unsigned>(std::max<std::size_t>(1, used / entries));
}

// Less urgent statements leave a connection to the most urgent ones, which else would
// wait for a transaction to end.
bool may_use_connection(unsigned share, unsigned in_use, unsigned rank)
{
    auto reserved = rank == 0 || share < least_share_with_reserve ? 0U : 1U;
    return in_use + reserved < share;
}

} // namespace papayabridge
