#include "member_state.hpp"

#include <algorithm>

namespace papayadb {

using papayabridge::log_index;
using papayabridge::position;
using papayabridge::term;

namespace {

refusal superseded_by(term accepted)
{
    return {refusal_kind::superseded,
            "term " + std::to_string(accepted.value()) + " was accepted"};
}

} // namespace

bool member_state::primary() const noexcept
{
    return promoted_ == accepted_ && promoted_.value() != 0;
}

std::optional<endpoint> member_state::following() const
{
    if (followed_ != accepted_ || followed_.value() == 0) {
        return std::nullopt;
    }
    return source_;
}

position member_state::last() const
{
    return log_.empty() ? position{} : log_.back().at;
}

outcome<void> member_state::fence(term higher)
{
    if (higher < accepted_) {
        return superseded_by(accepted_);
    }
    accepted_ = higher;
    return success();
}

outcome<void> member_state::promote(term promoted)
{
    if (promoted < accepted_ || followed_ == promoted) {
        return superseded_by(accepted_);
    }
    accepted_ = promoted;
    promoted_ = promoted;
    return success();
}

outcome<void> member_state::follow(term followed, endpoint source)
{
    if (followed < accepted_ || promoted_ == followed) {
        return superseded_by(accepted_);
    }
    accepted_ = followed;
    followed_ = followed;
    source_ = std::move(source);
    return success();
}

outcome<void> member_state::check_read(term gate) const
{
    if (gate < accepted_) {
        return superseded_by(accepted_);
    }
    return success();
}

outcome<void> member_state::check_write(term gate) const
{
    BOOST_OUTCOME_TRYV(check_read(gate));
    if (!primary() || gate != promoted_) {
        return refusal{refusal_kind::not_primary, "not the primary at this term"};
    }
    return success();
}

outcome<std::optional<write_outcome>>
member_state::replay(const std::string& key, const std::string& digest) const
{
    auto found = keys_.find(key);
    if (key.empty() || found == keys_.end()) {
        return std::optional<write_outcome>();
    }
    if (found->second.digest != digest) {
        return refusal{refusal_kind::key_conflict, "the key ran with another request"};
    }
    std::optional<write_outcome> first(found->second);
    first->replayed = true;
    return first;
}

outcome<write_outcome> member_state::write(term gate, log_entry write)
{
    BOOST_OUTCOME_TRYV(check_write(gate));
    BOOST_OUTCOME_TRY(auto first, replay(write.key, write.digest));
    if (first) {
        return *first;
    }
    BOOST_OUTCOME_TRY(auto done, execute(data_, write.statements));
    write.at = position{promoted_, log_index(log_.size() + 1)};
    write_outcome answer{.at = write.at, .digest = write.digest, .rows = done.rows};
    apply(write);
    log_.push_back(std::move(write));
    return answer;
}

bool member_state::append(log_entry entry)
{
    bool next = entry.at.index.value() == log_.size() + 1;
    if (!next || entry.at.term < last().term) {
        return false;
    }
    apply(entry);
    log_.push_back(std::move(entry));
    return true;
}

void member_state::apply(const log_entry& entry)
{
    // What is in the log ran once, so it runs again in the same way.
    auto done = execute(data_, entry.statements);
    if (!done) {
        return;
    }
    for (auto& [key, value] : done.value().written) {
        data_[key] = value;
    }
    if (!entry.key.empty()) {
        keys_[entry.key] = write_outcome{
            .at = entry.at, .digest = entry.digest, .rows = done.value().rows};
    }
}

bool member_state::holds(position tail) const
{
    auto index = tail.index.value();
    if (index == 0) {
        return true;
    }
    return index <= log_.size() && log_[index - 1].at == tail;
}

tail_hint member_state::hint_for(position tail) const
{
    auto index = std::min<std::uint64_t>(tail.index.value(), log_.size());
    tail_hint hint{.index = log_index(index)};
    if (index != 0) {
        hint.term_there = log_[index - 1].at.term;
    }
    return hint;
}

void member_state::cut_tail(tail_hint hint)
{
    auto keep = std::min<std::uint64_t>(hint.index.value(), log_.size());
    // Terms never fall along a log, so a higher term at that place or below is foreign.
    while (keep != 0 && log_[keep - 1].at.term > hint.term_there) {
        --keep;
    }
    if (keep == log_.size() && keep != 0) {
        --keep;
    }
    truncate(log_index(keep));
}

void member_state::truncate(log_index index)
{
    if (index.value() >= log_.size()) {
        return;
    }
    log_.resize(index.value());
    data_.clear();
    keys_.clear();
    for (const auto& entry : log_) {
        apply(entry);
    }
}

} // namespace papayadb
