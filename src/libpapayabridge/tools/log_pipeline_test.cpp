#include "tools/log_pipeline.hpp"

#include <future>
#include <gtest/gtest.h>
#include <papayabridge/json.hpp>
#include <sstream>
#include <thread>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

constexpr auto test_timeout = 20s;

// A sink that can be blocked, as by a reader of the log that stops reading. Shared with
// the pipeline's thread, which outlives the test.
class pausable_sink
{
public:
    void write(const std::string& text)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return reading_; });
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            auto read = parse_json(line);
            lines_.push_back(read ? read.value() : Json::Value(line));
        }
    }
    void set_reading(bool enabled)
    {
        std::lock_guard lock(mutex_);
        reading_ = enabled;
        changed_.notify_all();
    }
    std::vector<Json::Value> lines()
    {
        std::lock_guard lock(mutex_);
        return lines_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool reading_ = true;
    std::vector<Json::Value> lines_;
};

// A pipeline that writes to a pausable sink.
struct test_pipeline
{
    std::shared_ptr<pausable_sink> sink = std::make_shared<pausable_sink>();
    log_pipeline* log = nullptr;

    explicit test_pipeline(log_rates rates, std::size_t queue_bytes = 512 * 1024)
    {
        auto sink_target = sink;
        log = &log_pipeline::start(
            {.process = "p",
             .rates = rates,
             .sink = [sink_target](const std::string& text) { sink_target->write(text); },
             .batch_time = 1ms,
             .queue_bytes = queue_bytes});
    }
};

std::uint64_t count_held_back(const std::vector<Json::Value>& lines, const char* event)
{
    std::uint64_t total = 0;
    for (const auto& line : lines) {
        if (text_of(line, "event") == "lines_held_back" && text_of(line, "of") == event) {
            total += number_of(line, "lines");
        }
    }
    return total;
}

std::size_t count_events(const std::vector<Json::Value>& lines, const char* event)
{
    return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [event](const auto& line) {
            return text_of(line, "event") == event;
        }));
}

} // namespace

TEST(log_pipeline, a_blocked_sink_delays_no_writer_and_every_lost_line_is_counted)
{
    constexpr unsigned line_count = 5000;
    test_pipeline pipeline({.changes = 100'000, .troubles = 100'000, .ordinary = 100'000},
                           4096);
    pipeline.sink->set_reading(false);
    // If write() blocked, the time limit of the test would end it.
    for (unsigned i = 0; i < line_count; ++i) {
        pipeline.log->write(log_event::statement_answered, {{"took_us", log_number(i)}});
    }
    pipeline.log->write(log_event::statement_refused, {{"kind", "overloaded"}});
    pipeline.sink->set_reading(true);
    auto deadline = std::chrono::steady_clock::now() + test_timeout;
    std::uint64_t accounted = 0;
    while (accounted < line_count && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(10ms);
        auto lines = pipeline.sink->lines();
        accounted = count_events(lines, "statement_answered") +
                    count_held_back(lines, "statement_answered");
    }
    EXPECT_EQ(accounted, line_count);
    EXPECT_EQ(count_events(pipeline.sink->lines(), "statement_refused"), 1u);
}

TEST(log_pipeline, a_flush_ends_at_its_timeout_if_the_sink_blocks)
{
    test_pipeline pipeline({});
    pipeline.sink->set_reading(false);
    pipeline.log->write(log_event::process_stopping, {});
    pipeline.log->flush(20ms);
    EXPECT_TRUE(pipeline.sink->lines().empty());
    pipeline.sink->set_reading(true);
    pipeline.log->flush(test_timeout);
    EXPECT_EQ(count_events(pipeline.sink->lines(), "process_stopping"), 1u);
}

TEST(log_pipeline, lines_over_the_rate_are_reported_even_if_no_line_follows)
{
    test_pipeline pipeline({.ordinary = 2});
    for (unsigned i = 0; i < 10; ++i) {
        pipeline.log->write(log_event::statement_answered, {});
    }
    auto deadline = std::chrono::steady_clock::now() + test_timeout;
    while (count_held_back(pipeline.sink->lines(), "statement_answered") == 0 &&
           std::chrono::steady_clock::now() < deadline)
    {
        std::this_thread::sleep_for(10ms);
    }
    auto lines = pipeline.sink->lines();
    EXPECT_EQ(count_events(lines, "statement_answered") +
                  count_held_back(lines, "statement_answered"),
              10u);
}

TEST(log_pipeline, a_flush_reports_held_back_lines)
{
    test_pipeline pipeline({.ordinary = 1});
    for (unsigned i = 0; i < 5; ++i) {
        pipeline.log->write(log_event::statement_answered, {});
        pipeline.log->flush(test_timeout);
    }
    auto lines = pipeline.sink->lines();
    EXPECT_EQ(count_events(lines, "statement_answered") +
                  count_held_back(lines, "statement_answered"),
              5u);
}

// Guards against ordinary lines displacing lines of failures: for a second after a
// failure was held back, lines of served requests are held back too.
TEST(log_pipeline, failures_over_their_rate_hold_back_ordinary_lines)
{
    test_pipeline pipeline({.failures = 3, .ordinary = 100'000});
    for (unsigned i = 0; i < 5; ++i) {
        pipeline.log->write(log_event::statement_refused, {});
    }
    pipeline.log->write(log_event::statement_answered, {});
    pipeline.log->flush(test_timeout);
    auto lines = pipeline.sink->lines();
    EXPECT_EQ(count_events(lines, "statement_refused"), 3u);
    EXPECT_EQ(count_held_back(lines, "statement_refused"), 2u);
    EXPECT_EQ(count_events(lines, "statement_answered"), 0u);
    EXPECT_EQ(count_held_back(lines, "statement_answered"), 1u);
}

TEST(log_pipeline, a_rate_of_zero_writes_nothing)
{
    test_pipeline pipeline({.ordinary = 0});
    pipeline.log->write(log_event::statement_answered, {});
    pipeline.log->flush(test_timeout);
    EXPECT_EQ(count_events(pipeline.sink->lines(), "statement_answered"), 0u);
}

} // namespace papayabridge
