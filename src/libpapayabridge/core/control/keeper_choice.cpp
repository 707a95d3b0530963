#include "keeper_choice.hpp"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace papayabridge {

std::vector<keeper_candidate> order_keepers(const entry_id& entry,
                                            std::vector<keeper_candidate> candidates)
{
    auto key = [&entry](const keeper_candidate& candidate) {
        const auto& address = candidate.address;
        auto seed = XXH64(entry.str().data(), entry.str().size(), 0);
        return std::make_tuple(candidate.distance,
                               XXH64(address.data(), address.size(), seed), address);
    };
    std::sort(candidates.begin(), candidates.end(),
              [&key](const auto& a, const auto& b) { return key(a) < key(b); });
    return candidates;
}

} // namespace papayabridge
