#include "session_registry.hpp"

#include "caller_session.hpp"
#include "session/process_limits.hpp"

namespace papayabridge {

namespace {

// Callers send STARTUP at once and abandon an opening after two seconds.
constexpr std::chrono::milliseconds opening_timeout{10'000};
// When no more sessions fit, one that has sent no STARTUP for this long is closed for a
// new one. The longest way between regions and back takes 16 ms.
constexpr std::chrono::milliseconds min_opening_time{500};
// Returning free memory takes milliseconds, so it waits until it is worth it.
constexpr std::size_t min_returned_bytes = 4 * 1024 * 1024;
constexpr std::chrono::seconds min_return_interval{5};

std::string text_of(memory_refusal refusal)
{
    switch (refusal) {
    case memory_refusal::unopened_message:
        return "no memory for an incomplete message before STARTUP";
    case memory_refusal::idle_buffer:
        return "no memory for a message or answer without progress";
    case memory_refusal::incomplete_message:
        return "no memory for an incomplete message";
    case memory_refusal::most_values:
        return "no memory for the values of the session";
    case memory_refusal::over_share:
        return "the session holds more memory than one caller may";
    case memory_refusal::exhausted:
        break;
    }
    return "the memory for callers is exhausted";
}

} // namespace

session_registry::session_registry(session_limits limits)
    : budget_(limits.memory), max_sessions_(limits.max_sessions)
{
}

std::vector<std::shared_ptr<caller_session>> session_registry::open_sessions() const
{
    std::vector<std::shared_ptr<caller_session>> sessions;
    for (auto* session : sessions_) {
        sessions.push_back(session->shared_from_this());
    }
    return sessions;
}

void session_registry::remove(caller_session* session)
{
    released_ += session->holdings().total();
    budget_.release(session->holdings());
    sessions_.erase(session);
}

void session_registry::reduce(caller_session& session, memory_use use, std::size_t bytes)
{
    auto before = session.holdings().of(use);
    released_ += before - std::min(before, bytes);
    budget_.set(session.holdings(), use, bytes);
}

std::optional<memory_refusal> session_registry::hold(caller_session& session,
                                                     memory_use use, std::size_t bytes)
{
    auto& holdings = session.holdings();
    auto refusal = budget_.check(holdings, use, bytes);
    if (refusal == memory_refusal::exhausted) {
        refusal = reclaim_for(&session, use, bytes - holdings.of(use));
    }
    if (refusal) {
        report_refusal(session.remote(), session.database().str(), name_of(*refusal),
                       holdings.total());
        return refusal;
    }
    reduce(session, use, bytes);
    return std::nullopt;
}

// Without a requester the memory is for a connection that has just been accepted.
std::optional<memory_refusal>
session_registry::reclaim_for(caller_session* requester, memory_use use, std::size_t more)
{
    auto now = steady_clock::now();
    // Keeps sessions alive until all victims have been closed.
    auto sessions = open_sessions();
    std::vector<reclaim_candidate> candidates;
    candidates.reserve(sessions.size() + 1);
    auto position = sessions.size();
    for (std::size_t index = 0; index < sessions.size(); ++index) {
        candidates.push_back(sessions[index]->as_candidate());
        if (sessions[index].get() == requester) {
            position = index;
            auto& asking = candidates.back();
            asking.is_running = false;
            asking.last_progress = now;
            (use == memory_use::values ? asking.values : asking.input) +=
                use == memory_use::output ? 0 : more;
        }
    }
    auto choice = budget_.choose(candidates, position, more, now);
    for (const auto& victim : choice.victims) {
        close_session(*sessions[victim.index], name_of(victim.reason),
                      text_of(victim.reason));
    }
    return choice.refusal;
}

void session_registry::close_session(caller_session& session, std::string_view reason,
                                     const std::string& text)
{
    report_refusal(session.remote(), session.database().str(), reason,
                   session.holdings().total());
    released_ += session.holdings().total();
    budget_.release(session.holdings());
    session.end(fail(error_kind::overloaded, text));
}

bool session_registry::admit_connection(const tcp::endpoint& remote)
{
    bool has_room = sessions_.size() < max_sessions_ ||
                    close_oldest_unopened(min_opening_time, "max_sessions");
    if (!has_room) {
        report_refusal(remote, "", "max_sessions", 0);
        return false;
    }
    if (budget_.is_exhausted()) {
        auto refusal = reclaim_for(nullptr, memory_use::input, allowance());
        if (refusal) {
            report_refusal(remote, "", name_of(*refusal), 0);
            return false;
        }
    }
    return true;
}

bool session_registry::close_oldest_unopened(std::chrono::milliseconds min_age,
                                             std::string_view reason)
{
    auto oldest = steady_clock::now() - min_age;
    caller_session* found = nullptr;
    for (auto* session : sessions_) {
        if (!session->is_open() && !session->is_ended() &&
            session->connected_at() <= oldest) {
            oldest = session->connected_at();
            found = session;
        }
    }
    if (found == nullptr) {
        return false;
    }
    close_session(*found->shared_from_this(), reason, "no STARTUP was received in time");
    return true;
}

void session_registry::check()
{
    while (close_oldest_unopened(opening_timeout, "no_startup")) {
    }
    auto now = steady_clock::now();
    if (released_ >= min_returned_bytes && now - last_return_ >= min_return_interval) {
        return_free_memory();
        released_ = 0;
        last_return_ = now;
    }
}

void session_registry::report_refusal(const tcp::endpoint& remote,
                                      std::string_view database, std::string_view reason,
                                      std::size_t held) const
{
    auto caller = to_string(remote);
    log_line(log_event::caller_refused, {{"caller", caller},
                                         {"database", database},
                                         {"reason", reason},
                                         {"held_bytes", log_number(held)},
                                         {"all_held_bytes", log_number(budget_.held())}});
    metrics::process()
        .counter_of("papaya_callers_refused_total", {{"reason", std::string(reason)}})
        .add();
}

} // namespace papayabridge
