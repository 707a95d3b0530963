#include "core/observability/log_queue.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

bool offer(log_queue& queue, log_event event, std::string text)
{
    return queue.offer({.event = event, .text = std::move(text)});
}

} // namespace

TEST(log_queue, failed_requests_go_before_ordinary_ones)
{
    log_queue queue(1000);
    offer(queue, log_event::statement_answered, "ordinary");
    offer(queue, log_event::statement_retried, "trouble");
    offer(queue, log_event::statement_refused, "failure");
    offer(queue, log_event::primary_known, "change");
    EXPECT_EQ(queue.take(1000), "change\nfailure\ntrouble\nordinary");
    EXPECT_TRUE(queue.empty());
}

TEST(log_queue, a_full_class_leaves_room_for_the_others)
{
    log_queue queue(10);
    EXPECT_TRUE(offer(queue, log_event::statement_answered, "0123456789"));
    EXPECT_FALSE(offer(queue, log_event::statement_answered, "x"));
    EXPECT_TRUE(offer(queue, log_event::statement_refused, "0123456789"));
}

TEST(log_queue, gives_batches_and_room_again)
{
    log_queue queue(12);
    offer(queue, log_event::primary_known, "first");
    offer(queue, log_event::primary_known, "second");
    EXPECT_EQ(queue.take(8), "first");
    EXPECT_TRUE(offer(queue, log_event::primary_known, "third"));
    EXPECT_EQ(queue.take(100), "second\nthird");
    EXPECT_EQ(queue.take(100), "");
}

TEST(log_queue, a_line_longer_than_a_batch_is_given_alone)
{
    log_queue queue(100);
    offer(queue, log_event::primary_known, "a long line");
    offer(queue, log_event::primary_known, "b");
    EXPECT_EQ(queue.take(3), "a long line");
    EXPECT_EQ(queue.take(3), "b");
}

} // namespace papayabridge
