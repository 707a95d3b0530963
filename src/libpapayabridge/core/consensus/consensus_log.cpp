#include "consensus_log.hpp"

#include <algorithm>

namespace papayabridge {

consensus_log::consensus_log(control_index index, keeper_term term, voter_map voters)
    : base_index_(index), base_term_(term), base_voters_(std::move(voters))
{
}

control_index consensus_log::last_index() const noexcept
{
    return control_index(base_index_.value() + entries_.size());
}

keeper_term consensus_log::last_term() const noexcept
{
    return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<keeper_term> consensus_log::term_at(control_index index) const
{
    if (index == base_index_) {
        return base_term_;
    }
    if (index < base_index_ || index > last_index()) {
        return std::nullopt;
    }
    return at(index).term;
}

const log_entry& consensus_log::at(control_index index) const
{
    return entries_.at(index.value() - base_index_.value() - 1);
}

std::vector<log_entry> consensus_log::slice(control_index first, std::size_t count) const
{
    std::vector<log_entry> entries;
    for (auto index = first; index <= last_index() && entries.size() < count;
         index = index.next())
    {
        entries.push_back(at(index));
    }
    return entries;
}

void consensus_log::append(log_entry entry)
{
    if (std::holds_alternative<admit_keeper>(entry.body)) {
        membership_changes_.push_back(entry.index);
    }
    entries_.push_back(std::move(entry));
}

void consensus_log::truncate(control_index first)
{
    while (!entries_.empty() && last_index() >= first) {
        entries_.pop_back();
    }
    while (!membership_changes_.empty() && membership_changes_.back() >= first) {
        membership_changes_.pop_back();
    }
}

void consensus_log::compact(control_index index)
{
    auto term = term_at(index);
    if (!term || index <= base_index_) {
        return;
    }
    base_voters_ = voters_at(index);
    base_term_ = *term;
    while (!membership_changes_.empty() && membership_changes_.front() <= index) {
        membership_changes_.pop_front();
    }
    auto removed_count = static_cast<std::ptrdiff_t>(index.value() - base_index_.value());
    entries_.erase(entries_.begin(), entries_.begin() + removed_count);
    base_index_ = index;
}

voter_map consensus_log::voters_at(control_index index) const
{
    auto voters = base_voters_;
    for (auto change_index : membership_changes_) {
        if (change_index > index) {
            break;
        }
        const auto& change = std::get<admit_keeper>(at(change_index).body);
        voters.erase(change.replaces);
        voters[change.id] = change.incarnation;
    }
    return voters;
}

control_index consensus_log::last_membership_change() const noexcept
{
    return membership_changes_.empty() ? control_index() : membership_changes_.back();
}

std::vector<voter_map> consensus_log::active_voters(control_index commit) const
{
    std::vector<voter_map> sets{voters_at(last_index())};
    auto change = last_membership_change();
    if (change > commit) {
        sets.push_back(voters_at(control_index(change.value() - 1)));
    }
    return sets;
}

} // namespace papayabridge
