#include "member_contact.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>

namespace papayabridge {

namespace {

// Delay before a member with no free slot is asked again.
constexpr std::chrono::milliseconds busy_retry_interval{15};

} // namespace

member_contact::member_contact(net::any_io_executor executor, const member_codec& codec,
                               const pooled_member& member)
    : executor_(std::move(executor)), codec_(codec)
{
    report_.run = member.run;
    report_.leaving = member.leaving;
    auto endpoint = parse_endpoint(member.endpoint);
    if (endpoint) {
        address_ = member_address{
            .endpoint = *endpoint, .service = member.service, .id = member.run.id};
    }
}

net::awaitable<void> member_contact::connect(time_point deadline)
{
    if (!address_) {
        co_return;
    }
    auto opened = co_await member_connection::open(executor_, codec_, *address_, deadline,
                                                   &report_.is_stopped);
    if (!opened) {
        log_line(log_event::member_not_reached,
                 {{"member", report_.run.id.str()}, {"detail", opened.error().str()}});
        co_return;
    }
    connection_ = std::move(opened.value());
    co_await refresh_status(deadline);
}

net::awaitable<void> member_contact::refresh_status(time_point deadline)
{
    encoder encode = [this](std::string& out) { codec_.encode_status(out); };
    co_await request_status(std::move(encode), deadline);
}

net::awaitable<void> member_contact::stop_receiving(term stop_below, time_point deadline)
{
    encoder encode = [this, stop_below](std::string& out) {
        codec_.encode_stop_receiving(out, stop_below);
    };
    co_await request_status(std::move(encode), deadline);
}

net::awaitable<void> member_contact::resume_receiving(time_point deadline)
{
    encoder encode = [this](std::string& out) { codec_.encode_resume_receiving(out); };
    co_await request_status(std::move(encode), deadline);
}

net::awaitable<void> member_contact::step_down(term below, time_point deadline)
{
    encoder encode = [this, below](std::string& out) {
        codec_.encode_step_down(out, below);
    };
    co_await request_status(std::move(encode), deadline);
}

net::awaitable<void> member_contact::request_status(encoder encode, time_point deadline)
{
    report_.status.reset();
    while (connection_ && steady_clock::now() < deadline) {
        std::string request;
        encode(request);
        result<statement_answer> answer = fail(error_kind::unreachable, "not sent");
        auto sent = co_await connection_->send(std::move(request), deadline);
        if (sent) {
            answer = co_await connection_->receive(deadline);
        }
        if (!answer) {
            log_line(log_event::member_not_answering, {{"member", report_.run.id.str()},
                                                       {"detail", answer.error().str()}});
            connection_.reset();
            co_return;
        }
        const auto& failure = answer.value().failure;
        if (!failure) {
            auto status =
                answer.value().rows.empty()
                    ? fail(error_kind::bad_request, "the answer has no status row")
                    : codec_.decode_status(answer.value().rows.front());
            if (status) {
                report_.status = status.value();
            } else {
                log_line(log_event::member_status_unreadable,
                         {{"member", report_.run.id.str()},
                          {"detail", status.error().detail}});
            }
            co_return;
        }
        if (failure->kind != error_kind::overloaded) {
            log_line(log_event::member_refused_question,
                     {{"member", report_.run.id.str()}, {"detail", failure->detail}});
            co_return;
        }
        net::steady_timer timer(executor_);
        timer.expires_after(busy_retry_interval);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    }
}

} // namespace papayabridge
