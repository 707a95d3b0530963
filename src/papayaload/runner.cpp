#include "runner.hpp"

#include "random.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <utility>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds idle_poll{20};
/// Tries to read one key back, and the wait between them.
constexpr int verify_tries = 10;
constexpr milliseconds verify_wait{500};
/// Times that a write of unknown outcome is sent again with its key.
constexpr int resolve_tries = 3;

net::awaitable<void> sleep_until(time_point when)
{
    net::steady_timer timer(co_await net::this_coro::executor, when);
    co_await timer.async_wait(net::use_awaitable);
}

const read_mix& draw_read(const load_stream& stream, std::mt19937_64& random)
{
    unsigned all = 0;
    for (const auto& each : stream.reads) {
        all += each.weight;
    }
    auto drawn = draw_below(random, all);
    for (const auto& each : stream.reads) {
        if (drawn < each.weight) {
            return each;
        }
        drawn -= each.weight;
    }
    return stream.reads.front();
}

std::string name_of(const read_mix& read)
{
    if (!read.kind.empty()) {
        return read.kind;
    }
    return "age_" + std::to_string(read.max_age.value_or(milliseconds(0)).count());
}

} // namespace

load_runner::load_runner(net::io_context& context, const experiment& settings)
    : context_(context), settings_(settings), client_(settings.links)
{
}

net::awaitable<Json::Value> load_runner::run()
{
    auto end = steady_clock::now();
    for (const auto& phase : settings_.phases) {
        end += phase.length;
        phase_ends_.push_back(end);
    }
    counts_.resize(settings_.phases.size());
    streams_left_ = settings_.streams.size();
    for (std::size_t i = 0; i < settings_.streams.size(); ++i) {
        net::co_spawn(context_, arrive(i), net::detached);
    }
    std::size_t announced = 0;
    while (streams_left_ > 0 || in_progress_ > 0) {
        const auto phase = phase_at(steady_clock::now());
        if (phase && *phase >= announced) {
            std::cerr << "phase " << settings_.phases[*phase].name << std::endl;
            announced = *phase + 1;
        }
        co_await sleep_until(steady_clock::now() + idle_poll);
    }
    if (settings_.verify) {
        co_await verify();
    }
    Json::Value results(Json::objectValue);
    results["seed"] = Json::UInt64(settings_.seed);
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        auto phase = to_value(counts_[i], settings_.phases[i].length);
        phase["name"] = settings_.phases[i].name;
        results["phases"].append(phase);
    }
    results["history"] = history_.summary();
    co_return results;
}

std::optional<std::size_t> load_runner::phase_at(time_point when) const
{
    const auto found = std::upper_bound(phase_ends_.begin(), phase_ends_.end(), when);
    if (found == phase_ends_.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - phase_ends_.begin());
}

net::awaitable<void> load_runner::arrive(std::size_t number)
{
    constexpr double whole_percent = 100.0;
    const auto& stream = settings_.streams[number];
    std::mt19937_64 random(settings_.seed * 1000003 + number);
    auto next = phase_ends_.front() - settings_.phases.front().length;
    for (auto phase = phase_at(next); phase; phase = phase_at(next)) {
        const auto rate = stream.per_second *
                          settings_.phases[*phase].load_percent[stream.rank] /
                          whole_percent;
        if (rate <= 0) {
            next = phase_ends_[*phase];
            continue;
        }
        next += draw_interval(random, rate);
        if (next >= phase_ends_[*phase]) {
            // The process has no memory: it starts anew at the rate of the next phase.
            next = phase_ends_[*phase];
            continue;
        }
        auto drawn = draw(stream, *phase, next, random);
        if (next > steady_clock::now()) {
            co_await sleep_until(next);
        }
        if (in_progress_ >= settings_.most_in_progress) {
            ++counts_[*phase][stream.rank].not_sent;
            continue;
        }
        ++in_progress_;
        net::co_spawn(context_, serve(std::move(drawn)), net::detached);
    }
    --streams_left_;
}

load_runner::arrival load_runner::draw(const load_stream& stream, std::size_t phase,
                                       time_point intended, std::mt19937_64& random)
{
    constexpr std::uint64_t whole_percent = 100;
    arrival from;
    from.stream = &stream;
    from.phase = phase;
    from.intended = intended;
    from.entry = settings_.entries[draw_below(random, settings_.entries.size())];
    from.key.database =
        settings_.databases[draw_below(random, settings_.databases.size())];
    from.key.name = "k" + std::to_string(draw_below(random, settings_.keys));
    from.caller = caller_id(std::string(to_string(stream.rank)) + "-" +
                            std::to_string(draw_below(random, stream.callers)));
    from.write = draw_below(random, whole_percent) < stream.writes_percent;
    from.own_key = draw_below(random, 2) == 0;
    from.read = draw_read(stream, random);
    from.number = ++arrivals_;
    return from;
}

std::size_t load_runner::take_session()
{
    if (free_sessions_.empty()) {
        sessions_.emplace_back();
        return sessions_.size() - 1;
    }
    const auto taken = free_sessions_.back();
    free_sessions_.pop_back();
    return taken;
}

std::string load_runner::tag_of(const arrival& from) const
{
    return "w" + std::to_string(settings_.seed) + "-" + std::to_string(from.number) + ".";
}

load_request load_runner::request_for(const arrival& from,
                                      const load_session& session) const
{
    load_request request;
    request.service = settings_.service;
    request.database = from.key.database;
    if (from.stream->statement > milliseconds(0)) {
        request.statements.push_back("sleep " +
                                     std::to_string(from.stream->statement.count()));
    }
    const auto work = from.write ? "append " + from.key.name + " " + tag_of(from)
                                 : "get " + from.key.name;
    request.statements.push_back(work);
    request.write = from.write;
    request.rank = from.stream->rank;
    request.caller = from.caller;
    request.key = tag_of(from);
    request.read = from.read;
    request.deadline = from.stream->deadline;
    request.session_token = session.token;
    return request;
}

net::awaitable<void> load_runner::serve(arrival from)
{
    const auto number = take_session();
    auto session = sessions_[number];
    if (!from.write && from.own_key && !session.last_tag.empty()) {
        from.key = session.last_key;
    }
    ++counts_[from.phase][from.stream->rank].sent;
    const auto request = request_for(from, session);
    const auto sent = steady_clock::now();
    auto answer = co_await client_.call(from.entry, request);
    const auto now = steady_clock::now();
    auto& counts = counts_[from.phase][from.stream->rank];
    const auto latency =
        std::chrono::duration_cast<std::chrono::microseconds>(now - from.intended);
    counts.ended(*from.stream, answer, latency);
    if (answer.served) {
        const auto phase_now = phase_at(now);
        if (phase_now) {
            counts_[*phase_now][from.stream->rank].slot_time += from.stream->statement;
        }
    }
    for (int i = 0; i < resolve_tries && from.write && !answer.served &&
                    answer.ran == ran_state::unknown;
         ++i)
    {
        co_await sleep_until(steady_clock::now() + verify_wait);
        const auto other =
            (from.number + static_cast<std::size_t>(i)) % settings_.entries.size();
        auto again = co_await client_.call(settings_.entries[other], request);
        if (again.served) {
            answer = std::move(again);
        }
    }
    if (from.write) {
        record_write(from, answer, session);
    } else if (answer.served) {
        check_read(from, answer, session, sent);
    }
    if (!answer.session_token.empty()) {
        session.token = answer.session_token;
    }
    sessions_[number] = std::move(session);
    free_sessions_.push_back(number);
    --in_progress_;
}

void load_runner::check_read(const arrival& from, const load_answer& answer,
                             const load_session& session, time_point sent)
{
    if (answer.mixed) {
        history_.mixed();
    }
    auto& reads = counts_[from.phase][from.stream->rank].reads[name_of(from.read)];
    ++reads.served;
    reads.by_replica += answer.by_replica ? 1 : 0;
    if (from.key == session.last_key && !session.last_tag.empty()) {
        history_.check_own(answer.body, session.last_tag);
    }
    if (from.read.max_age) {
        history_.check_age(from.key, answer.body, sent - *from.read.max_age);
    } else if (from.read.kind == "fresh") {
        history_.check_age(from.key, answer.body, sent);
    }
}

void load_runner::record_write(const arrival& from, const load_answer& answer,
                               load_session& session)
{
    if (answer.served && answer.mixed) {
        history_.mixed();
    }
    history_.wrote(from.key, tag_of(from), answer.served, answer.ran,
                   steady_clock::now());
    if (answer.served) {
        session.last_key = from.key;
        session.last_tag = tag_of(from);
    }
}

net::awaitable<void> load_runner::verify()
{
    std::cerr << "verify" << std::endl;
    for (const auto& key : history_.keys()) {
        co_await verify_key(key);
    }
}

net::awaitable<void> load_runner::verify_key(load_key key)
{
    load_request request;
    request.service = settings_.service;
    request.database = key.database;
    request.statements.push_back("get " + key.name);
    request.caller = caller_id("verify");
    request.read.kind = "fresh";
    for (int i = 0; i < verify_tries; ++i) {
        const auto entry = static_cast<std::size_t>(i) % settings_.entries.size();
        auto answer = co_await client_.call(settings_.entries[entry], request);
        if (answer.served) {
            history_.check_final(key, answer.body);
            co_return;
        }
        co_await sleep_until(steady_clock::now() + verify_wait);
    }
    ++history_.unverified;
}

} // namespace papayabridge
