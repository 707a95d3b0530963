/// \file connection_share.hpp
/// Which statements may have one of an entry's few connections to a member. No input or
/// output.

#pragma once

#include <cstddef>

namespace papayabridge {

/// How many connections to a member that accepts \p most_connections each of \p entries
/// may have; at least 1.
unsigned connection_share(unsigned most_connections, std::size_t entries);

/// Whether a statement of \p rank (0 is the most urgent) may have another connection of
/// a \p share of which \p in_use are taken.
bool may_use_connection(unsigned share, unsigned in_use, unsigned rank);

} // namespace papayabridge
