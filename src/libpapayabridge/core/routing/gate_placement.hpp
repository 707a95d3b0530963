/// \file gate_placement.hpp
/// Chooses the gates of a member: the entries that hold its connections and its queue on
/// behalf of all entries. No I/O.
///
/// Load pattern: many entries in front of members that accept few connections. With a
/// share of one connection each, an entry runs one statement or one idle transaction at a
/// member at a time and refuses the rest, while the member is hardly loaded.
///
/// Entries place gates independently. While their views differ, a member may have more
/// gates than intended; the member then refuses connections over its limit, and no
/// statement runs twice.

#pragma once

#include <cstddef>
#include <papayabridge/ids.hpp>
#include <vector>

namespace papayabridge {

/// An entry that can be a gate.
struct gate_candidate
{
    entry_id entry;
    domain_name domain;
    /// Distance of its failure domain to the member's: 0 for the same domain, 1 for the
    /// same region, 2 otherwise.
    unsigned distance = 0;
};

/// The limits that apply to each gate of a member.
struct gate_limits
{
    /// Connections that the gate may open to the member.
    unsigned connections = 1;
    /// Statements outside of open transactions that it runs at the same time.
    unsigned slots = 1;
};

/// Whether statements go through gates: the share of each of \p entry_count entries in
/// the \p max_connections of a member with \p member_slots is too small for direct
/// connections.
bool needs_gates(unsigned max_connections, unsigned member_slots,
                 std::size_t entry_count);

/// The number of gates of a member if \p entry_count entries and \p member_count members
/// are in its failure domain. At least 1.
std::size_t gate_count(std::size_t entry_count, std::size_t member_count);

/// The limits of each of \p gates gates of a member that accepts \p max_connections and
/// runs \p member_slots statements at a time. One more gate than planned stays within
/// \p max_connections.
gate_limits limits_of_gate(unsigned max_connections, unsigned member_slots,
                           std::size_t gates);

/// All candidates in the order in which they are gates of \p member: nearest first, then
/// by rendezvous hashing, so that the loss or return of an entry moves only its own
/// gates. The entries after the first gate_count() ones are standbys.
std::vector<entry_id> order_gates(const member_id& member,
                                  std::vector<gate_candidate> candidates);

/// The entries through which \p caller sends statements to \p member, in order of
/// preference: itself if it is one of the first \p gates of \p ordered, then the other
/// gates, spread over the callers, then the standbys. At most \p max_choices.
std::vector<entry_id> choose_gates(const entry_id& caller, const member_id& member,
                                   const std::vector<entry_id>& ordered,
                                   std::size_t gates, std::size_t max_choices);

/// The same for statements of \p account, whatever entry sends them: each of the gates
/// serves a part of the accounts.
std::vector<entry_id> choose_account_gates(const account_name& account,
                                           const member_id& member,
                                           const std::vector<entry_id>& ordered,
                                           std::size_t gates, std::size_t max_choices);

} // namespace papayabridge
