/// \file session_registry.hpp
/// The open sessions of an entry, and the memory that it holds for their callers.

#pragma once

#include "core/admission/memory_budget.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <limits>
#include <memory>
#include <papayabridge/links.hpp>
#include <set>

namespace papayabridge {

class caller_session;

/// Limits over all sessions of an entry.
struct session_limits
{
    memory_limits memory = make_memory_limits(default_caller_memory(0));
    std::size_t max_sessions = std::numeric_limits<std::size_t>::max();
};

/// Must be used on one thread.
class session_registry
{
public:
    explicit session_registry(session_limits limits = {});

    void add(caller_session* session) { sessions_.insert(session); }
    /// Also releases the session's memory.
    void remove(caller_session* session);
    std::size_t size() const noexcept { return sessions_.size(); }
    /// Returns a copy, because closing a session changes the set.
    std::vector<std::shared_ptr<caller_session>> open_sessions() const;

    /// Bytes held for all callers.
    std::size_t held_bytes() const noexcept { return budget_.held(); }
    /// Buffers of at most this size are always granted.
    std::size_t allowance() const noexcept { return budget_.limits().allowance; }
    /// Records that \p session holds \p bytes for \p use; memory of other sessions is
    /// reclaimed if necessary. If it is refused, nothing is recorded and the reason is
    /// returned.
    std::optional<memory_refusal> hold(caller_session& session, memory_use use,
                                       std::size_t bytes);
    /// Records that \p session holds less than before.
    void reduce(caller_session& session, memory_use use, std::size_t bytes);
    /// Whether a connection from \p remote may be served. Sessions that were not opened
    /// may be closed for it.
    bool admit_connection(const tcp::endpoint& remote);
    /// Closes sessions that were not opened in time, and returns freed memory to the
    /// system. Call about once a second.
    void check();

    /// Whether sessions close as soon as they are idle; set during shutdown.
    bool close_when_idle = false;

private:
    std::optional<memory_refusal> reclaim_for(caller_session* requester, memory_use use,
                                              std::size_t more);
    bool close_oldest_unopened(std::chrono::milliseconds min_age,
                               std::string_view reason);
    void close_session(caller_session& session, std::string_view reason,
                       const std::string& text);
    void report_refusal(const tcp::endpoint& remote, std::string_view database,
                        std::string_view reason, std::size_t held) const;

    memory_budget budget_;
    std::size_t max_sessions_;
    std::set<caller_session*> sessions_;
    /// Bytes released since free memory was last returned to the system.
    std::size_t released_ = 0;
    time_point last_return_;
};

} // namespace papayabridge
