#include "departed_keepers.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// Longer than a suspended or restarting machine is usually away, so that it need not
// register again.
constexpr std::chrono::seconds departed_after{15};

} // namespace

std::vector<keeper_id> find_departed_keepers(const std::vector<keeper_sighting>& known,
                                             std::chrono::milliseconds leading_for)
{
    std::vector<keeper_id> departed;
    for (const auto& keeper : known) {
        // A new leader has not had the time to hear from everyone.
        auto silence = std::min(keeper.since_contact.value_or(leading_for), leading_for);
        if (!keeper.votes && silence > departed_after) {
            departed.push_back(keeper.id);
        }
    }
    return departed;
}

} // namespace papayabridge
