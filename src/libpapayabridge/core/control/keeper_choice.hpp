/// \file keeper_choice.hpp
/// The order in which an entry asks the keepers. No I/O.
///
/// Load pattern: all entries start at the same moment with the same list of keepers. In
/// the order of the list they would all ask its first one.

#pragma once

#include <papayabridge/ids.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// An address at which a keeper may be found.
struct keeper_candidate
{
    /// "address:port".
    std::string address;
    /// 0 for the same failure domain; larger is farther. Equal if nothing is known.
    unsigned distance = 0;
};

/// \p candidates with the nearest first. Those at the same distance are in an order that
/// differs between entries.
std::vector<keeper_candidate> order_keepers(const entry_id& entry,
                                            std::vector<keeper_candidate> candidates);

} // namespace papayabridge
