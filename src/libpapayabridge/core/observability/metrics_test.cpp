#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/metrics.hpp>
#include <thread>

namespace papayabridge {

using testing::HasSubstr;

TEST(metrics, the_same_name_and_labels_give_the_same_metric)
{
    metrics registry;
    auto& urgent = registry.counter_of("requests_total", {{"rank", "urgent"}});
    auto& batch = registry.counter_of("requests_total", {{"rank", "batch"}});
    urgent.add(2);
    batch.add();
    registry.counter_of("requests_total", {{"rank", "urgent"}}).add();
    EXPECT_EQ(urgent.value(), 3U);
    EXPECT_EQ(batch.value(), 1U);
}

TEST(metrics, text_has_one_type_line_a_name_and_escapes_label_values)
{
    metrics registry;
    registry.counter_of("requests_total", {{"caller", "a\"b\\c\nd"}}).add(7);
    registry.gauge_of("queue_length").set(-4);
    auto text = registry.prometheus_text();
    EXPECT_EQ(text, "# TYPE requests_total counter\n"
                    "requests_total{caller=\"a\\\"b\\\\c\\nd\"} 7\n"
                    "# TYPE queue_length gauge\n"
                    "queue_length -4\n");
}

TEST(metrics, latencies_outside_the_axis_are_counted)
{
    latency_histogram latency;
    latency.record(std::chrono::nanoseconds(1));
    latency.record(std::chrono::milliseconds(10));
    latency.record(std::chrono::hours(1));
    EXPECT_EQ(latency.count(), 3U);
    std::string text;
    latency.write(text, "wait_seconds", {{"rank", "urgent"}});
    EXPECT_THAT(text, HasSubstr("wait_seconds_bucket{rank=\"urgent\",le=\"5e-05\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("wait_seconds_bucket{rank=\"urgent\",le=\"100\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("wait_seconds_bucket{rank=\"urgent\",le=\"+Inf\"} 3\n"));
    EXPECT_THAT(text, HasSubstr("wait_seconds_count{rank=\"urgent\"} 3\n"));
}

TEST(metrics, a_quantile_is_the_upper_edge_of_its_bin)
{
    latency_histogram latency;
    EXPECT_EQ(latency.quantile(0.5).count(), 0);
    for (int i = 0; i < 99; ++i) {
        latency.record(std::chrono::milliseconds(1));
    }
    latency.record(std::chrono::seconds(2));
    EXPECT_GE(latency.quantile(0.5), std::chrono::milliseconds(1));
    EXPECT_LT(latency.quantile(0.5), std::chrono::milliseconds(2));
    EXPECT_GE(latency.quantile(1.0), std::chrono::seconds(2));
    EXPECT_LT(latency.quantile(1.0), std::chrono::seconds(3));
}

TEST(metrics, threads_lose_no_count)
{
    constexpr int each = 10000;
    metrics registry;
    std::array<std::thread, 4> threads;
    for (auto& thread : threads) {
        thread = std::thread([&registry] {
            auto& requests = registry.counter_of("requests_total");
            auto& latency = registry.latency_of("latency_seconds");
            for (int k = 0; k < each; ++k) {
                requests.add();
                latency.record(std::chrono::microseconds(k));
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(registry.counter_of("requests_total").value(), 4U * each);
    EXPECT_EQ(registry.latency_of("latency_seconds").count(), 4U * each);
}

} // namespace papayabridge
