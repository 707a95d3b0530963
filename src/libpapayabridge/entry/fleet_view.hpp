/// \file fleet_view.hpp
/// The control state as one entry knows it, shared with its traffic threads.

#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <papayabridge/configuration.hpp>
#include <papayabridge/control_state.hpp>
#include <papayabridge/links.hpp>

namespace papayabridge {

/// An unchanging copy of the control state.
struct fleet_view
{
    control_state state;
    /// The configuration, read into types.
    configuration settings;

    /// Settings of \p service; the defaults if nobody configured it.
    service_settings service(const service_name& service) const
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

    /// Notes that a keeper with a leader was heard at \p now.
    void heard(time_point now) { heard_ = now.time_since_epoch().count(); }
    /// How long ago that was.
    std::chrono::milliseconds age(time_point now) const
    {
        auto since = now.time_since_epoch() - steady_clock::duration(heard_.load());
        return std::chrono::duration_cast<std::chrono::milliseconds>(since);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const fleet_view> view_;
    std::atomic<steady_clock::rep> heard_{0};
};

} // namespace papayabridge
