#include "tools/log_pipeline.hpp"

#include <future>
#include <gtest/gtest.h>
#include <papayabridge/json.hpp>
#include <sstream>
#include <thread>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

constexpr auto long_enough = 20s;

// A reader of the log that can stop reading. Shared with the pipeline's thread, which
// outlives the test.
class stubborn_reader
{
public:
    void take(const std::string& text)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return reads_; });
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            auto read = parse_json(line);
            lines_.push_back(read ? read.value() : Json::Value(line));
        }
    }
    void read(bool on)
    {
        std::lock_guard lock(mutex_);
        reads_ = on;
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
    bool reads_ = true;
    std::vector<Json::Value> lines_;
};

struct piped
{
    std::shared_ptr<stubborn_reader> reader = std::make_shared<stubborn_reader>();
    log_pipeline* log = nullptr;

    explicit piped(log_rates rates, std::size_t queue_bytes = 512 * 1024)
    {
        auto to = reader;
        log = &log_pipeline::start(
            {.process = "p",
             .rates = rates,
             .sink = [to](const std::string& text) { to->take(text); },
             .batch_time = 1ms,
             .queue_bytes = queue_bytes});
    }
};

std::uint64_t held_back(const std::vector<Json::Value>& lines, const char* event)
{
    std::uint64_t sum = 0;
    for (const auto& line : lines) {
        if (text_of(line, "event") == "lines_held_back" && text_of(line, "of") == event) {
            sum += number_of(line, "lines");
        }
    }
    return sum;
}

std::size_t count_of(const std::vector<Json::Value>& lines, const char* event)
{
    return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [event](const auto& line) {
            return text_of(line, "event") == event;
        }));
}

} // namespace

TEST(log_pipeline, a_reader_that_stops_delays_nobody_and_misses_only_what_is_counted)
{
    constexpr unsigned written = 5000;
    piped one({.changes = 100'000, .troubles = 100'000, .ordinary = 100'000}, 4096);
    one.reader->read(false);
    // Comes back, or the test's own time limit ends it.
    for (unsigned i = 0; i < written; ++i) {
        one.log->write(log_event::statement_answered, {{"took_us", log_number(i)}});
    }
    one.log->write(log_event::statement_refused, {{"kind", "overloaded"}});
    one.reader->read(true);
    auto until = std::chrono::steady_clock::now() + long_enough;
    std::uint64_t known = 0;
    while (known < written && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(10ms);
        auto lines = one.reader->lines();
        known = count_of(lines, "statement_answered") +
                held_back(lines, "statement_answered");
    }
    EXPECT_EQ(known, written);
    EXPECT_EQ(count_of(one.reader->lines(), "statement_refused"), 1u);
}

TEST(log_pipeline, a_flush_ends_though_nobody_reads)
{
    piped one({});
    one.reader->read(false);
    one.log->write(log_event::process_stopping, {});
    one.log->flush(20ms);
    EXPECT_TRUE(one.reader->lines().empty());
    one.reader->read(true);
    one.log->flush(long_enough);
    EXPECT_EQ(count_of(one.reader->lines(), "process_stopping"), 1u);
}

TEST(log_pipeline, says_what_went_over_the_budget_also_when_no_line_follows)
{
    piped one({.ordinary = 2});
    for (unsigned i = 0; i < 10; ++i) {
        one.log->write(log_event::statement_answered, {});
    }
    auto until = std::chrono::steady_clock::now() + long_enough;
    while (held_back(one.reader->lines(), "statement_answered") == 0 &&
           std::chrono::steady_clock::now() < until)
    {
        std::this_thread::sleep_for(10ms);
    }
    auto lines = one.reader->lines();
    EXPECT_EQ(count_of(lines, "statement_answered") +
                  held_back(lines, "statement_answered"),
              10u);
}

TEST(log_pipeline, a_flush_says_what_was_held_back)
{
    piped one({.ordinary = 1});
    for (unsigned i = 0; i < 5; ++i) {
        one.log->write(log_event::statement_answered, {});
        one.log->flush(long_enough);
    }
    auto lines = one.reader->lines();
    EXPECT_EQ(count_of(lines, "statement_answered") +
                  held_back(lines, "statement_answered"),
              5u);
}

// Each failed request has its line; those that are served wait for room.
TEST(log_pipeline, failures_over_their_rate_are_followed_by_no_ordinary_line)
{
    piped one({.failures = 3, .ordinary = 100'000});
    for (unsigned i = 0; i < 5; ++i) {
        one.log->write(log_event::statement_refused, {});
    }
    one.log->write(log_event::statement_answered, {});
    one.log->flush(long_enough);
    auto lines = one.reader->lines();
    EXPECT_EQ(count_of(lines, "statement_refused"), 3u);
    EXPECT_EQ(held_back(lines, "statement_refused"), 2u);
    EXPECT_EQ(count_of(lines, "statement_answered"), 0u);
    EXPECT_EQ(held_back(lines, "statement_answered"), 1u);
}

TEST(log_pipeline, a_rate_of_zero_writes_nothing)
{
    piped one({.ordinary = 0});
    one.log->write(log_event::statement_answered, {});
    one.log->flush(long_enough);
    EXPECT_EQ(count_of(one.reader->lines(), "statement_answered"), 0u);
}

} // namespace papayabridge
