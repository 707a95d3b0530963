/// \file runner.hpp
/// Runs the phases of an experiment: open loop, latency from the intended arrival.

#pragma once

#include "history.hpp"
#include "statistics.hpp"

#include <boost/asio/steady_timer.hpp>
#include <random>

namespace papayabridge {

/// A caller's session, which roams between entries with its token.
struct load_session
{
    std::string token;
    /// Its last acknowledged write; the tag is empty before the first.
    load_key last_key;
    std::string last_tag;
};

/// One run. All on one thread.
class load_runner
{
public:
    load_runner(net::io_context& context, const experiment& settings);

    /// Runs all phases, waits for the last answer, reads back; the results as JSON.
    net::awaitable<Json::Value> run();

private:
    /// One arrival, with all that was drawn for it.
    struct arrival
    {
        const load_stream* stream = nullptr;
        std::size_t phase = 0;
        time_point intended;
        tcp::endpoint entry;
        load_key key;
        caller_id caller;
        bool write = false;
        bool own_key = false;
        read_mix read;
        std::uint64_t number = 0;
    };

    net::awaitable<void> arrive(std::size_t stream);
    net::awaitable<void> serve(arrival from);
    net::awaitable<void> verify();
    net::awaitable<void> verify_key(load_key key);

    arrival draw(const load_stream& stream, std::size_t phase, time_point intended,
                 std::mt19937_64& random);
    load_request request_for(const arrival& from, const load_session& session) const;
    void check_read(const arrival& from, const load_answer& answer,
                    const load_session& session, time_point sent);
    void record_write(const arrival& from, const load_answer& answer,
                      load_session& session);
    std::string tag_of(const arrival& from) const;
    /// The phase at \p when; nothing after the last.
    std::optional<std::size_t> phase_at(time_point when) const;
    std::size_t take_session();

    net::io_context& context_;
    const experiment& settings_;
    load_client client_;
    history history_;
    std::vector<by_rank<rank_counts>> counts_;
    std::vector<time_point> phase_ends_;
    std::vector<load_session> sessions_;
    std::vector<std::size_t> free_sessions_;
    std::size_t in_progress_ = 0;
    std::size_t streams_left_ = 0;
    std::uint64_t arrivals_ = 0;
};

} // namespace papayabridge
