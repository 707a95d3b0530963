#include <papayabridge/admission_model.hpp>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace papayabridge {

namespace {

using std::chrono::microseconds;

/// Statements are numbered within a stream; the stream is in the low bits.
constexpr std::uint64_t stream_bits = 8;

struct model_event
{
    admission_time at;
    std::uint64_t id = 0;
    /// False for an arrival.
    bool finish = false;

    bool operator>(const model_event& other) const
    {
        return std::tie(at, finish, id) > std::tie(other.at, other.finish, other.id);
    }
};

struct statement
{
    admission_time arrived;
    admission_time started;
    bool counted = false;
};

/// One run in progress.
class model_run
{
public:
    explicit model_run(const model_options& options)
        : options_(options), admission_(options.admission)
    {
        counted_from_ = admission_time() + options.warmup;
        end_ = admission_time() + options.duration;
        result_.streams.resize(options.streams.size());
        result_.capacity = microseconds(options.duration - options.warmup) *
                           static_cast<int>(options.admission.slots);
        for (std::size_t i = 0; i < options.streams.size(); ++i) {
            random_.emplace_back(options.seed * 1000003 + i);
            services_.emplace_back(options.seed * 7368787 + i);
            next_arrival(i, admission_time());
        }
    }

    model_result run()
    {
        while (!events_.empty()) {
            const auto event = events_.top();
            events_.pop();
            pass_time(event.at);
            if (event.finish) {
                finish(event);
            } else {
                arrive(event);
            }
            expire(event.at);
            start(event.at);
        }
        result_.each_ended_once &= statements_.empty() && admission_.waiting() == 0;
        return std::move(result_);
    }

private:
    static double exponential(std::mt19937_64& random)
    {
        const auto uniform = static_cast<double>(random() >> 11) * 0x1.0p-53;
        return -std::log1p(-uniform);
    }

    static std::size_t stream_of(std::uint64_t id)
    {
        return id & ((1U << stream_bits) - 1);
    }

    void next_arrival(std::size_t stream, admission_time after)
    {
        const auto seconds =
            exponential(random_[stream]) / options_.streams[stream].per_second;
        const auto at =
            after + microseconds(static_cast<std::int64_t>(seconds * 1e6) + 1);
        if (at < end_) {
            events_.push({.at = at, .id = (++last_number_ << stream_bits) | stream});
        }
    }

    void arrive(const model_event& event)
    {
        const auto stream = stream_of(event.id);
        const auto& from = options_.streams[stream];
        next_arrival(stream, event.at);
        const bool counted = event.at >= counted_from_;
        auto& result = result_.streams[stream];
        result.sent += counted ? 1 : 0;
        const admission_item item{.id = event.id,
                                  .rank = from.rank,
                                  .caller = from.caller,
                                  .arrived = event.at,
                                  .deadline = event.at + from.deadline,
                                  .target = event.at + from.target};
        const auto submitted = admission_.submit(item, event.at);
        if (submitted) {
            statements_[event.id] = {.arrived = event.at, .counted = counted};
        } else if (submitted.error().kind == error_kind::overloaded) {
            result.refused_full += counted ? 1 : 0;
        } else {
            result.refused_deadline += counted ? 1 : 0;
        }
    }

    void expire(admission_time now)
    {
        for (auto id : admission_.expire(now)) {
            const auto ended = statements_.extract(id);
            if (ended.empty()) {
                result_.each_ended_once = false;
                continue;
            }
            result_.streams[stream_of(id)].expired += ended.mapped().counted ? 1 : 0;
        }
    }

    void start(admission_time now)
    {
        for (auto id : admission_.start(now)) {
            const auto found = statements_.find(id);
            if (found == statements_.end()) {
                result_.each_ended_once = false;
                continue;
            }
            found->second.started = now;
            const auto stream = stream_of(id);
            const auto mean =
                static_cast<double>(options_.streams[stream].service.count());
            const auto held =
                static_cast<std::int64_t>(mean * exponential(services_[stream])) + 1;
            events_.push({.at = now + microseconds(held), .id = id, .finish = true});
        }
        result_.max_running = std::max(result_.max_running, admission_.running());
    }

    void finish(const model_event& event)
    {
        admission_.finish(event.id, event.at);
        const auto ended = statements_.extract(event.id);
        if (ended.empty()) {
            result_.each_ended_once = false;
            return;
        }
        const auto stream = stream_of(event.id);
        auto& result = result_.streams[stream];
        const auto from = std::clamp(ended.mapped().started, counted_from_, end_);
        const auto to = std::clamp(event.at, counted_from_, end_);
        result.slot_time += std::chrono::duration_cast<microseconds>(to - from);
        if (!ended.mapped().counted) {
            return;
        }
        const auto latency =
            std::chrono::duration_cast<microseconds>(event.at - ended.mapped().arrived);
        ++result.served;
        result.within_target += latency <= options_.streams[stream].target ? 1 : 0;
        result.latencies.push_back(latency);
    }

    void pass_time(admission_time now)
    {
        if (admission_.waiting() > 0) {
            const auto free = options_.admission.slots - admission_.running();
            result_.wasted_slot_time +=
                std::chrono::duration_cast<microseconds>(now - last_) *
                static_cast<int>(free);
        }
        last_ = now;
    }

    const model_options& options_;
    admission admission_;
    admission_time counted_from_;
    admission_time end_;
    admission_time last_;
    std::vector<std::mt19937_64> random_;
    std::vector<std::mt19937_64> services_;
    std::uint64_t last_number_ = 0;
    std::priority_queue<model_event, std::vector<model_event>, std::greater<>> events_;
    std::map<std::uint64_t, statement> statements_;
    model_result result_;
};

} // namespace

model_result run_admission_model(const model_options& options)
{
    return model_run(options).run();
}

} // namespace papayabridge
