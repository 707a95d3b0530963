#include "gate_placement.hpp"

#include "connection_share.hpp"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace papayabridge {

namespace {

// With a smaller share one idle transaction takes half or all of an entry's connections.
constexpr unsigned min_direct_share = 3;
// With this many entries for each slot of a member, an entry's part of its load is so
// small that one connection is enough.
constexpr std::size_t entries_per_slot = 16;
// A second gate takes over at once if the first fails; more would divide the queue, whose
// order is only known within one gate.
constexpr std::size_t max_gates = 2;
// Connections per member that are left to keepers.
constexpr unsigned reserved_connections = 2;
// Statements at the member for each of its slots. With fewer, slots are idle for the
// round trips; with more, statements wait at the member, whose queue knows no ranks.
constexpr unsigned statements_per_slot = 2;

std::uint64_t hash_of(const std::string& user, const member_id& member)
{
    return XXH64(member.str().data(), member.str().size(),
                 XXH64(user.data(), user.size(), 0));
}

unsigned divide_rounding_up(unsigned amount, std::size_t parts)
{
    return static_cast<unsigned>((amount + parts - 1) / parts);
}

// Puts the gate of \p ordered at \p first, of the first \p count, to the front.
std::vector<entry_id> rotate_gates(const std::vector<entry_id>& ordered,
                                   std::size_t count, std::size_t first,
                                   std::size_t max_choices)
{
    std::vector<entry_id> chosen(
        ordered.begin(),
        ordered.begin() + static_cast<std::ptrdiff_t>(
                              std::min(ordered.size(), std::max(count, max_choices))));
    if (count > 0) {
        std::rotate(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(first),
                    chosen.begin() + static_cast<std::ptrdiff_t>(count));
    }
    chosen.resize(std::min(chosen.size(), max_choices));
    return chosen;
}

} // namespace

bool needs_gates(unsigned max_connections, unsigned member_slots, std::size_t entry_count)
{
    auto entries = std::max<std::size_t>(1, entry_count);
    auto share = connection_share(max_connections, entries);
    bool fits = share * entries < max_connections;
    bool seldom_needs_two = entries >= entries_per_slot * std::max(1U, member_slots);
    return share < min_direct_share && !(fits && seldom_needs_two);
}

std::size_t gate_count(std::size_t entry_count, std::size_t member_count)
{
    return std::clamp<std::size_t>(entry_count / std::max<std::size_t>(1, member_count),
                                   1, max_gates);
}

gate_limits limits_of_gate(unsigned max_connections, unsigned member_slots,
                           std::size_t gates)
{
    auto usable = max_connections - std::min(max_connections - 1, reserved_connections);
    auto connections = static_cast<unsigned>(usable / (gates + 1));
    return {.connections = std::max(1U, connections),
            .slots = divide_rounding_up(std::max(1U, member_slots) * statements_per_slot,
                                        gates)};
}

std::vector<entry_id> order_gates(const member_id& member,
                                  std::vector<gate_candidate> candidates)
{
    using scored = std::tuple<unsigned, std::uint64_t, const entry_id*>;
    std::vector<scored> scores;
    scores.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        scores.emplace_back(candidate.distance, hash_of(candidate.entry.str(), member),
                            &candidate.entry);
    }
    std::sort(scores.begin(), scores.end(), [](const auto& a, const auto& b) {
        auto key = [](const scored& row) {
            return std::tie(std::get<0>(row), std::get<1>(row), *std::get<2>(row));
        };
        return key(a) < key(b);
    });
    std::vector<entry_id> ordered;
    ordered.reserve(scores.size());
    for (const auto& row : scores) {
        ordered.push_back(*std::get<2>(row));
    }
    return ordered;
}

std::vector<entry_id> choose_gates(const entry_id& caller, const member_id& member,
                                   const std::vector<entry_id>& ordered,
                                   std::size_t gates, std::size_t max_choices)
{
    auto count = std::min(gates, ordered.size());
    auto end = ordered.begin() + static_cast<std::ptrdiff_t>(count);
    auto self = std::find(ordered.begin(), end, caller);
    auto first = self != end  ? static_cast<std::size_t>(self - ordered.begin())
                 : count == 0 ? 0
                              : hash_of(caller.str(), member) % count;
    return rotate_gates(ordered, count, first, max_choices);
}

// The accounts are divided between the gates, so that each gate keeps connections for
// fewer of them.
std::vector<entry_id> choose_account_gates(const account_name& account,
                                           const member_id& member,
                                           const std::vector<entry_id>& ordered,
                                           std::size_t gates, std::size_t max_choices)
{
    auto count = std::min(gates, ordered.size());
    auto first = count == 0 ? 0 : hash_of(account.str(), member) % count;
    return rotate_gates(ordered, count, first, max_choices);
}

} // namespace papayabridge
