/// \file member_state.hpp
/// The replicated log, the term and the role of one member. No input or output.

#pragma once

#include "statements.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <papayabridge/ids.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace papayadb {

using endpoint = boost::asio::ip::tcp::endpoint;

/// One atomic write.
struct log_entry
{
    papayabridge::position at;
    papayabridge::request_id request;
    /// Idempotency key; may be empty.
    std::string key;
    /// Digest of the request that the key is bound to.
    std::string digest;
    statement_list statements;
};

/// What a write answered when it first ran.
struct write_outcome
{
    papayabridge::position at;
    std::string digest;
    Json::Value rows;
    bool replayed = false;
};

/// What a primary knows about a replica's tail that does not match.
struct tail_hint
{
    papayabridge::log_index index;
    papayabridge::term term_there;
};

/// Log, data, term and role. Not thread-safe.
class member_state
{
public:
    /// The highest term accepted; lower ones are refused.
    papayabridge::term accepted() const noexcept { return accepted_; }
    /// Whether this member was promoted at the accepted term.
    bool primary() const noexcept;
    /// The primary that this member follows at the accepted term, if it does.
    std::optional<endpoint> following() const;
    /// Position of the last write held.
    papayabridge::position last() const;
    const table& data() const noexcept { return data_; }
    const std::vector<log_entry>& log() const noexcept { return log_; }

    /// Refuses terms below \p higher from now on.
    outcome<void> fence(papayabridge::term higher);
    /// Becomes the primary at \p promoted.
    outcome<void> promote(papayabridge::term promoted);
    /// Becomes a replica of \p source at \p followed.
    outcome<void> follow(papayabridge::term followed, endpoint source);

    /// Whether a data call of a gate at \p gate may read.
    outcome<void> check_read(papayabridge::term gate) const;
    /// Whether a data call of a gate at \p gate may write.
    outcome<void> check_write(papayabridge::term gate) const;
    /// The first outcome of \p key if it ran; `key_conflict` if it ran with another
    /// digest.
    outcome<std::optional<write_outcome>> replay(const std::string& key,
                                                 const std::string& digest) const;
    /// Runs \p write at term \p gate and appends it; its position is set here.
    outcome<write_outcome> write(papayabridge::term gate, log_entry write);

    /// Appends an entry from the primary's log; false if it does not follow the tail.
    bool append(log_entry entry);
    /// Whether this log holds \p tail.
    bool holds(papayabridge::position tail) const;
    /// What to send to a replica whose \p tail is not held.
    tail_hint hint_for(papayabridge::position tail) const;
    /// Cuts the entries of the tail that cannot be in the primary's log.
    void cut_tail(tail_hint hint);
    /// Cuts all entries above \p index.
    void truncate(papayabridge::log_index index);
    /// Restores an accepted term; used when reading back.
    void restore_term(papayabridge::term accepted) { accepted_ = accepted; }

private:
    void apply(const log_entry& entry);

    papayabridge::term accepted_;
    papayabridge::term promoted_;
    papayabridge::term followed_;
    endpoint source_;
    std::vector<log_entry> log_;
    table data_;
    std::unordered_map<std::string, write_outcome> keys_;
};

} // namespace papayadb
