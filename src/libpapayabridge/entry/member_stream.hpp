/// \file member_stream.hpp
/// Streams the remaining body of a member's long answer and checks its end marker.

#pragma once

#include "member_gate.hpp"

namespace papayabridge {

/// Keeps the connection and the slot of a long answer until the answer is read or
/// dropped.
class member_stream : public answer_stream
{
public:
    member_stream(std::shared_ptr<member_gate> gate, std::uint64_t ticket,
                  std::unique_ptr<http_connection> connection,
                  const gate_request& request, std::string_view first_part)
        : gate_(std::move(gate)), ticket_(ticket), connection_(std::move(connection)),
          request_(request.request), deadline_(request.deadline), tail_(first_part)
    {
        trim_tail();
    }
    ~member_stream() override
    {
        if (gate_) {
            gate_->finish_stream(ticket_, nullptr);
        }
    }

    net::awaitable<result<std::size_t>> read(std::span<char> into) override
    {
        if (!connection_) {
            co_return std::size_t(0);
        }
        auto count = co_await connection_->read(into, deadline_);
        if (!count) {
            finish(false);
            co_return count.error();
        }
        if (count.value() == 0) {
            bool whole = ends_with_end_marker(tail_, request_);
            finish(whole);
            if (!whole) {
                co_return fail(error_kind::outcome_unknown,
                               "the answer has no end marker");
            }
            co_return std::size_t(0);
        }
        tail_.append(into.data(), count.value());
        trim_tail();
        co_return count.value();
    }

private:
    void trim_tail()
    {
        auto marker_length = end_marker_length(request_);
        if (tail_.size() > marker_length) {
            tail_.erase(0, tail_.size() - marker_length);
        }
    }

    void finish(bool whole)
    {
        auto gate = std::move(gate_);
        auto connection = std::move(connection_);
        if (!whole) {
            connection.reset();
        }
        gate->finish_stream(ticket_, std::move(connection));
    }

    std::shared_ptr<member_gate> gate_;
    std::uint64_t ticket_;
    std::unique_ptr<http_connection> connection_;
    request_id request_;
    time_point deadline_;
    std::string tail_;
};

} // namespace papayabridge
