/// \file departed_keepers.hpp
/// Tells which keepers' addresses can be given up. No I/O.
///
/// Load pattern: keepers are replaced over months. Whoever looks for another keeper waits
/// for a connect timeout at each address that is still listed but no longer used.

#pragma once

#include <chrono>
#include <optional>
#include <papayabridge/ids.hpp>
#include <vector>

namespace papayabridge {

/// What the leader knows of a registered keeper.
struct keeper_sighting
{
    keeper_id id;
    bool votes = false;
    /// Time since its last message to the leader; empty if there was none.
    std::optional<std::chrono::milliseconds> since_contact;
};

/// The keepers among \p known that neither vote nor were heard for a while by a leader
/// that has led for \p leading_for. One that comes back registers again.
std::vector<keeper_id> find_departed_keepers(const std::vector<keeper_sighting>& known,
                                             std::chrono::milliseconds leading_for);

} // namespace papayabridge
