#include "commit_proof.hpp"

#include <algorithm>

namespace papayabridge {

// A promoted member has to hold every acknowledged commit, so while promotions are
// ordered their targets decide. Before, or if this entry may not have heard of an order,
// replicas that the keepers know decide: a target is as far as the furthest of them. A
// suspected primary may have lost these and go on with the copy of a replica that has
// just started, whose first report is still on its way.
commit_proof required_proof(const commit_situation& situation)
{
    if (situation.copies == 0) {
        return {};
    }
    if (situation.committed_by != situation.primary) {
        return {.replicas = {situation.primary}, .count = 1};
    }
    commit_proof proof;
    std::copy_if(situation.targets.begin(), situation.targets.end(),
                 std::back_inserter(proof.replicas),
                 [&](const member_id& target) { return target != situation.primary; });
    if (!proof.replicas.empty()) {
        proof.count = proof.replicas.size();
    } else if (situation.is_changing || situation.is_suspected ||
               situation.age > view_validity)
    {
        proof.replicas = situation.replicas;
        proof.count = situation.copies;
    }
    return proof;
}

// A replica that follows a later primary may have lost the commit, whatever its position.
proof_state check_proof(const commit_proof& proof, position committed,
                        const std::map<member_id, position>& held)
{
    std::size_t holding = 0;
    std::size_t superseded = 0;
    for (const auto& replica : proof.replicas) {
        auto known = held.find(replica);
        if (known == held.end()) {
            continue;
        }
        bool is_later = known->second.term > committed.term;
        superseded += is_later ? 1 : 0;
        holding += !is_later && known->second >= committed ? 1 : 0;
    }
    if (holding >= proof.count) {
        return proof_state::holds;
    }
    bool can_hold = proof.replicas.size() >= proof.count + superseded;
    return can_hold ? proof_state::open : proof_state::impossible;
}

} // namespace papayabridge
