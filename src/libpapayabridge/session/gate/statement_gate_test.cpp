// The queue of a gate before a member that is played by a mock, and the decisions that it
// takes under a flood.

#include "session/gate/statement_gate.hpp"

#include "session/members/member_pool.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gmock/gmock.h>
#include <thread>

namespace papayabridge {

using testing::ElementsAre;
using testing::IsEmpty;

namespace {

// A member that answers when the test says so.
class mock_access : public member_access
{
public:
    explicit mock_access(net::io_context& context) : context_(context) {}

    net::awaitable<member_outcome> run(member_request request) override
    {
        started.push_back(request.work.stmt->id.str());
        auto timer = std::make_shared<net::steady_timer>(context_,
                                                         steady_clock::time_point::max());
        running_.push_back(timer);
        co_await timer->async_wait(net::as_tuple(net::use_awaitable));
        member_outcome outcome;
        outcome.stage = run_stage::sent;
        outcome.member = request.members.front();
        outcome.answer = statement_answer();
        co_return outcome;
    }

    void finish_oldest()
    {
        running_.front()->cancel();
        running_.erase(running_.begin());
    }
    std::size_t running() const { return running_.size(); }

    std::vector<std::string> started;

private:
    net::io_context& context_;
    std::vector<std::shared_ptr<net::steady_timer>> running_;
};

class unused_codec : public member_codec
{
public:
    result<std::optional<member_message>> decode(std::string_view&) const override
    {
        return std::optional<member_message>();
    }
    result<member_status> decode_status(std::string_view) const override
    {
        return member_status();
    }
    void encode_opening(std::string&, const service_name&, const member_id&,
                        const account_name&) const override
    {
    }
    void encode_reset(std::string&) const override {}
    void encode_value(std::string&, const std::string&, const std::string&) const override
    {
    }
    void encode_prepare(std::string&, const std::string&,
                        const prepared_shape&) const override
    {
    }
    void encode_begin(std::string&, bool, std::optional<position>) const override {}
    void encode_rollback(std::string&) const override {}
    void encode_statement(std::string&, const statement&, const std::string&,
                          std::optional<position>) const override
    {
    }
    void encode_status(std::string&) const override {}
    void encode_stop_receiving(std::string&, term) const override {}
    void encode_resume_receiving(std::string&) const override {}
    void encode_step_down(std::string&, term) const override {}
};

struct gate_queue_fixture
{
    gate_queue_fixture() { publish(2); }

    void publish(unsigned slots, bool has_member = true, bool leaving = false)
    {
        auto view = std::make_shared<pool_view>();
        viewed_service service;
        if (has_member) {
            service.members.push_back({.run = {.id = member_id("m1")},
                                       .leaving = leaving,
                                       .gate = {.connections = 5, .slots = slots}});
        }
        view->leaving_limit = leaving_limit;
        view->current_before = steady_clock::now();
        view->services[service_name("svc")] = service;
        pool.update(view);
        gate.update(view);
    }

    void send(const std::string& id, unsigned rank,
              std::chrono::milliseconds wait = std::chrono::milliseconds(5000),
              bool refuse_if_busy = false)
    {
        net::co_spawn(context, run(id, rank, wait, refuse_if_busy), net::detached);
        poll();
    }

    net::awaitable<void> run(std::string id, unsigned rank,
                             std::chrono::milliseconds wait, bool refuse_if_busy)
    {
        statement stmt;
        stmt.id = request_id(id);
        session_values session;
        member_request request;
        request.service = service_name("svc");
        request.members = {member_id("m1")};
        request.work.stmt = &stmt;
        request.work.session = &session;
        request.rank = rank;
        request.wait_until = steady_clock::now() + wait;
        request.refuse_if_busy = refuse_if_busy;
        auto outcome = co_await gate.run(std::move(request));
        if (outcome.stage == run_stage::sent) {
            answered.push_back(id);
        } else {
            refused[id] = outcome.answer.error().kind;
            unservable = unservable || outcome.is_unservable;
        }
    }

    void poll()
    {
        context.restart();
        while (context.poll() > 0) {
        }
    }

    void finish_oldest()
    {
        member.finish_oldest();
        poll();
    }

    net::io_context context{1};
    unused_codec codec;
    member_pool pool{context.get_executor(), codec};
    mock_access member{context};
    statement_gate gate{context.get_executor(), member, pool};
    std::chrono::milliseconds leaving_limit{std::chrono::seconds(5)};
    std::vector<std::string> answered;
    std::map<std::string, error_kind> refused;
    bool unservable = false;
};

} // namespace

TEST(statement_gate, runs_as_many_statements_as_the_gate_has_slots)
{
    gate_queue_fixture fixture;
    for (const char* id : {"a", "b", "c"}) {
        fixture.send(id, 0);
    }
    EXPECT_EQ(fixture.member.running(), 2U);
    EXPECT_EQ(fixture.gate.running(), 2U);
    EXPECT_EQ(fixture.gate.waiting(), 1U);
    fixture.finish_oldest();
    EXPECT_THAT(fixture.member.started, ElementsAre("a", "b", "c"));
    EXPECT_EQ(fixture.gate.waiting(), 0U);
}

// A flood of the least urgent rank from other entries, then one urgent statement.
TEST(statement_gate, an_urgent_statement_passes_a_flood_of_another_rank)
{
    gate_queue_fixture fixture;
    for (int number = 0; number < 40; ++number) {
        fixture.send("batch-" + std::to_string(number), 2);
    }
    fixture.send("urgent", 0);
    fixture.finish_oldest();
    EXPECT_EQ(fixture.member.started.back(), "urgent");
}

// A flood of the most urgent rank must not starve the least urgent one.
TEST(statement_gate, the_least_urgent_rank_is_served_under_a_flood_of_the_most_urgent)
{
    gate_queue_fixture fixture;
    for (int number = 0; number < 60; ++number) {
        fixture.send("urgent-" + std::to_string(number), 0);
    }
    fixture.send("batch", 2);
    for (int number = 0; number < 50; ++number) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        fixture.finish_oldest();
    }
    EXPECT_THAT(fixture.member.started, testing::Contains("batch"));
}

TEST(statement_gate, a_statement_that_gets_no_slot_in_time_is_refused_as_not_run)
{
    gate_queue_fixture fixture;
    fixture.send("a", 0);
    fixture.send("b", 0);
    fixture.send("late", 0, std::chrono::milliseconds(1));
    fixture.context.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(fixture.refused.at("late"), error_kind::overloaded);
    fixture.finish_oldest();
    EXPECT_THAT(fixture.member.started, ElementsAre("a", "b"));
}

TEST(statement_gate, what_cannot_start_in_time_is_refused_at_once)
{
    gate_queue_fixture fixture;
    fixture.publish(1);
    fixture.send("a", 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    fixture.finish_oldest();
    for (int number = 0; number < 10; ++number) {
        fixture.send("w" + std::to_string(number), 0, std::chrono::milliseconds(35));
    }
    // So many are ahead that the last of those was refused, whatever the first one took.
    fixture.send("hopeless", 0, std::chrono::milliseconds(35));
    EXPECT_EQ(fixture.refused.at("hopeless"), error_kind::overloaded);
    EXPECT_TRUE(fixture.unservable);
}

TEST(statement_gate, a_statement_with_another_member_is_not_kept_waiting)
{
    gate_queue_fixture fixture;
    fixture.publish(1);
    fixture.send("a", 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    fixture.finish_oldest();
    fixture.send("b", 1);
    fixture.send("elsewhere", 1, std::chrono::milliseconds(5000), true);
    EXPECT_EQ(fixture.refused.at("elsewhere"), error_kind::overloaded);
    EXPECT_FALSE(fixture.unservable);
}

TEST(statement_gate, a_member_that_is_gone_or_has_left_is_not_used)
{
    gate_queue_fixture fixture;
    fixture.publish(2, false);
    fixture.send("a", 0);
    fixture.leaving_limit = std::chrono::milliseconds(0);
    fixture.publish(2, true, true);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    fixture.send("b", 0);
    EXPECT_EQ(fixture.refused.at("a"), error_kind::not_found);
    EXPECT_EQ(fixture.refused.at("b"), error_kind::unreachable);
    EXPECT_THAT(fixture.member.started, IsEmpty());
}

// The member leaves while the statement waits for a slot.
TEST(statement_gate, a_waiting_statement_is_not_sent_to_a_member_that_left)
{
    gate_queue_fixture fixture;
    fixture.publish(1);
    fixture.send("a", 0);
    fixture.send("b", 0);
    fixture.publish(1, false);
    fixture.finish_oldest();
    EXPECT_EQ(fixture.refused.at("b"), error_kind::not_found);
    EXPECT_THAT(fixture.member.started, ElementsAre("a"));
}

TEST(statement_gate, a_change_of_slots_starts_waiting_statements)
{
    gate_queue_fixture fixture;
    fixture.publish(1);
    fixture.send("a", 0);
    fixture.send("b", 0);
    fixture.publish(2);
    fixture.poll();
    EXPECT_THAT(fixture.member.started, ElementsAre("a", "b"));
}

} // namespace papayabridge
