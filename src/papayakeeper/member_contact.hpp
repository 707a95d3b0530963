/// \file member_contact.hpp
/// The leader's own connection to a member, for replication status and commands.

#pragma once

#include "core/promotion/promotion_plan.hpp"
#include "session/members/member_connection.hpp"

namespace papayabridge {

/// A live member answers within this time across regions, even if its slots are busy.
inline constexpr std::chrono::milliseconds member_reach_timeout{500};

/// A member during a promotion. Must outlive its pending calls.
class member_contact
{
public:
    member_contact(net::any_io_executor executor, const member_codec& codec,
                   const pooled_member& member);

    /// Connects and requests the status; report() holds the result.
    net::awaitable<void> connect(time_point deadline);
    /// Requests the status on the open connection.
    net::awaitable<void> refresh_status(time_point deadline);
    /// Stops replication from primaries of terms below \p stop_below.
    net::awaitable<void> stop_receiving(term stop_below, time_point deadline);
    /// Undoes stop_receiving().
    net::awaitable<void> resume_receiving(time_point deadline);

    /// Makes a primary of a term below \p below a replica.
    net::awaitable<void> step_down(term below, time_point deadline);

    bool is_open() const noexcept { return connection_ != nullptr; }
    /// The last known status; `status` is empty if the last request failed.
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
