/// \file connection_share.hpp
/// Divides a member's connections between the entries, and an entry's share between
/// statements of different ranks. No I/O.

#pragma once

#include <cstddef>

namespace papayabridge {

/// How many connections each of \p entry_count entries may open to a member that accepts
/// \p max_connections. At least 1.
unsigned connection_share(unsigned max_connections, std::size_t entry_count);

/// Whether a statement of \p rank (0 is the most urgent) may use one more connection if
/// \p in_use of the entry's \p share are in use.
bool may_use_connection(unsigned share, unsigned in_use, unsigned rank);

} // namespace papayabridge
