/// \file consensus_log.hpp
/// The in-memory log of one keeper since its last snapshot, and the voters that it
/// defines.

#pragma once

#include "consensus_messages.hpp"

#include <deque>
#include <optional>

namespace papayabridge {

/// The entries after a snapshot. Indices are consecutive.
class consensus_log
{
public:
    consensus_log() = default;
    /// An empty log after a snapshot whose last entry is \p index with \p term and after
    /// which \p voters were the voters.
    consensus_log(control_index index, keeper_term term, voter_map voters);

    control_index first_index() const noexcept { return base_index_.next(); }
    control_index last_index() const noexcept;
    keeper_term last_term() const noexcept;
    /// The term of the entry at \p index. Empty if it is neither in the log nor the last
    /// one of the snapshot.
    std::optional<keeper_term> term_at(control_index index) const;
    const log_entry& at(control_index index) const;
    /// At most \p count entries, starting at \p first.
    std::vector<log_entry> slice(control_index first, std::size_t count) const;

    void append(log_entry entry);
    /// Removes the entry at \p first and all that follow.
    void truncate(control_index first);
    /// Removes the entries up to \p index, which a snapshot contains.
    void compact(control_index index);

    /// The voters after all entries up to \p index.
    voter_map voters_at(control_index index) const;
    /// Index of the last change of the voters; 0 if the log has none.
    control_index last_membership_change() const noexcept;

    /// The sets of voters of which each must give a majority. \p commit is the last entry
    /// known to be committed. There are two sets while the last change of the voters may
    /// be uncommitted.
    std::vector<voter_map> active_voters(control_index commit) const;

private:
    control_index base_index_;
    keeper_term base_term_;
    voter_map base_voters_;
    std::deque<log_entry> entries_;
    std::deque<control_index> membership_changes_;
};

} // namespace papayabridge
