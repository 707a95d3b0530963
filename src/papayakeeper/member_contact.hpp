/// \file member_contact.hpp
/// The leading keeper's own connection to a member, for questions about replication.

#pragma once

#include "core/promotion_plan.hpp"
#include "session/member_connection.hpp"

namespace papayabridge {

/// One member while a promotion is prepared. Lives as long as its calls.
class member_contact
{
public:
    member_contact(net::any_io_executor executor, const member_codec& codec,
                   const pooled_member& member);

    /// Connects and asks for the status; the result is in report().
    net::awaitable<void> connect(time_point deadline);
    /// Asks again on the open connection.
    net::awaitable<void> refresh_status(time_point deadline);
    net::awaitable<void> stop_receiving(term above_newest, time_point deadline);
    net::awaitable<void> resume_receiving(time_point deadline);

    bool is_open() const noexcept { return connection_ != nullptr; }
    const member_report& report() const noexcept { return report_; }

private:
    using encoder = std::function<void(std::string&)>;
    net::awaitable<void> request_status(encoder encode, time_point deadline);

    net::any_io_executor executor_;
    const member_codec& codec_;
    std::optional<member_address> address_;
    std::unique_ptr<member_connection> connection_;
    member_report report_;
};

} // namespace papayabridge
