#include <papayabridge/admission_model.hpp>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace papayabridge {

namespace {

using std::chrono::microseconds;

/// Low bits of a statement's id that hold the index of its stream; the others number the
/// statements of all streams.
constexpr std::uint64_t stream_index_bits = 8;

/// The arrival or the end of a statement.
struct simulation_event
{
    admission_time at;
    std::uint64_t id = 0;
    /// True if the statement ends, false if it arrives.
    bool is_finish = false;

    bool operator>(const simulation_event& other) const
    {
        return std::tie(at, is_finish, id) >
               std::tie(other.at, other.is_finish, other.id);
    }
};

/// A statement that waits or runs.
struct statement_state
{
    admission_time arrived;
    admission_time started;
    /// Whether it arrived after the warm-up.
    bool measured = false;
};

/// Discrete-event simulation of one run.
class simulation
{
public:
    explicit simulation(const model_options& options)
        : options_(options), admission_(options.admission)
    {
        measure_from_ = admission_time() + options.warmup;
        end_ = admission_time() + options.duration;
        result_.streams.resize(options.streams.size());
        result_.capacity = microseconds(options.duration - options.warmup) *
                           static_cast<int>(options.admission.slots);
        for (std::size_t i = 0; i < options.streams.size(); ++i) {
            arrival_random_.emplace_back(options.seed * 1000003 + i);
            service_random_.emplace_back(options.seed * 7368787 + i);
            schedule_arrival(i, admission_time());
        }
    }

    model_result run()
    {
        while (!events_.empty()) {
            const auto event = events_.top();
            events_.pop();
            add_wasted_slot_time(event.at);
            if (event.is_finish) {
                finish_statement(event);
            } else {
                submit_arrival(event);
            }
            expire_statements(event.at);
            start_statements(event.at);
        }
        result_.each_ended_once &= statements_.empty() && admission_.waiting() == 0;
        return std::move(result_);
    }

private:
    /// A random number of the exponential distribution with mean 1.
    static double exponential(std::mt19937_64& random)
    {
        const auto uniform = static_cast<double>(random() >> 11) * 0x1.0p-53;
        return -std::log1p(-uniform);
    }

    static std::size_t stream_of(std::uint64_t id)
    {
        return id & ((1U << stream_index_bits) - 1);
    }

    void schedule_arrival(std::size_t stream, admission_time after)
    {
        const auto seconds =
            exponential(arrival_random_[stream]) / options_.streams[stream].per_second;
        const auto at =
            after + microseconds(static_cast<std::int64_t>(seconds * 1e6) + 1);
        if (at < end_) {
            events_.push(
                {.at = at,
                 .id = (++last_statement_number_ << stream_index_bits) | stream});
        }
    }

    void submit_arrival(const simulation_event& event)
    {
        const auto stream = stream_of(event.id);
        const auto& source = options_.streams[stream];
        schedule_arrival(stream, event.at);
        const bool measured = event.at >= measure_from_;
        auto& result = result_.streams[stream];
        result.sent += measured ? 1 : 0;
        const admission_item item{.id = event.id,
                                  .rank = source.rank,
                                  .caller = source.caller,
                                  .arrived = event.at,
                                  .deadline = event.at + source.deadline,
                                  .target = event.at + source.target};
        const auto submitted = admission_.submit(item, event.at);
        if (submitted) {
            statements_[event.id] = {.arrived = event.at, .measured = measured};
        } else if (submitted.error().kind == error_kind::overloaded) {
            result.refused_full += measured ? 1 : 0;
        } else {
            result.refused_deadline += measured ? 1 : 0;
        }
    }

    void expire_statements(admission_time now)
    {
        for (auto id : admission_.expire(now)) {
            const auto ended = statements_.extract(id);
            if (ended.empty()) {
                result_.each_ended_once = false;
                continue;
            }
            result_.streams[stream_of(id)].expired += ended.mapped().measured ? 1 : 0;
        }
    }

    void start_statements(admission_time now)
    {
        for (auto id : admission_.start(now)) {
            const auto statement_entry = statements_.find(id);
            if (statement_entry == statements_.end()) {
                result_.each_ended_once = false;
                continue;
            }
            statement_entry->second.started = now;
            const auto stream = stream_of(id);
            const auto mean =
                static_cast<double>(options_.streams[stream].service.count());
            const auto service_us =
                static_cast<std::int64_t>(mean * exponential(service_random_[stream])) +
                1;
            events_.push(
                {.at = now + microseconds(service_us), .id = id, .is_finish = true});
        }
        result_.max_running = std::max(result_.max_running, admission_.running());
    }

    void finish_statement(const simulation_event& event)
    {
        admission_.finish(event.id, event.at);
        const auto ended = statements_.extract(event.id);
        if (ended.empty()) {
            result_.each_ended_once = false;
            return;
        }
        const auto stream = stream_of(event.id);
        auto& result = result_.streams[stream];
        const auto from = std::clamp(ended.mapped().started, measure_from_, end_);
        const auto to = std::clamp(event.at, measure_from_, end_);
        result.slot_time += std::chrono::duration_cast<microseconds>(to - from);
        if (!ended.mapped().measured) {
            return;
        }
        const auto latency =
            std::chrono::duration_cast<microseconds>(event.at - ended.mapped().arrived);
        ++result.served;
        result.within_target += latency <= options_.streams[stream].target ? 1 : 0;
        result.latencies.push_back(latency);
    }

    /// Adds the time since the last event for each slot that was free while a statement
    /// waited.
    void add_wasted_slot_time(admission_time now)
    {
        if (admission_.waiting() > 0) {
            const auto free = options_.admission.slots - admission_.running();
            result_.wasted_slot_time +=
                std::chrono::duration_cast<microseconds>(now - last_event_time_) *
                static_cast<int>(free);
        }
        last_event_time_ = now;
    }

    const model_options& options_;
    admission admission_;
    admission_time measure_from_;
    admission_time end_;
    admission_time last_event_time_;
    std::vector<std::mt19937_64> arrival_random_;
    std::vector<std::mt19937_64> service_random_;
    std::uint64_t last_statement_number_ = 0;
    std::priority_queue<simulation_event, std::vector<simulation_event>, std::greater<>>
        events_;
    std::map<std::uint64_t, statement_state> statements_;
    model_result result_;
};

} // namespace

model_result run_admission_model(const model_options& options)
{
    return simulation(options).run();
}

} // namespace papayabridge
