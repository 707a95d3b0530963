/// \file fleet_view.hpp
/// Read-only copies of the control state that an entry shares with its traffic threads.

#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <papayabridge/configuration.hpp>
#include <papayabridge/control_state.hpp>
#include <papayabridge/links.hpp>

namespace papayabridge {

/// One immutable copy of the control state.
struct fleet_view
{
    control_state state;
    /// The parsed configuration.
    configuration settings;

    /// Settings of \p service; the defaults if it is not configured.
    service_settings settings_for(const service_name& service) const
    {
        auto found = settings.services.find(service);
        return found == settings.services.end() ? default_service_settings(service)
                                                : found->second;
    }
};

/// The latest view. Thread-safe.
class view_holder
{
public:
    view_holder() : view_(std::make_shared<fleet_view>()) {}

    std::shared_ptr<const fleet_view> current() const
    {
        std::lock_guard lock(mutex_);
        return view_;
    }
    void publish(std::shared_ptr<const fleet_view> view)
    {
        std::lock_guard lock(mutex_);
        view_ = std::move(view);
    }

    /// Records that a keeper that knows the leader answered at \p now.
    void record_keeper_contact(time_point now)
    {
        last_keeper_contact_ = now.time_since_epoch().count();
    }
    /// Time since the last such answer.
    std::chrono::milliseconds time_since_keeper_contact(time_point now) const
    {
        auto since =
            now.time_since_epoch() - steady_clock::duration(last_keeper_contact_.load());
        return std::chrono::duration_cast<std::chrono::milliseconds>(since);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const fleet_view> view_;
    std::atomic<steady_clock::rep> last_keeper_contact_{0};
};

} // namespace papayabridge
