#include "deadline_socket.hpp"

#include <boost/asio/steady_timer.hpp>

namespace papayabridge {

// The timer may be armed for an earlier time than the deadline: when it fires early, it
// is armed again.
struct deadline_socket::state
{
    explicit state(const net::any_io_executor& executor)
        : socket(executor), timer(executor)
    {
    }

    tcp::socket socket;
    net::steady_timer timer;
    time_point deadline = time_point::max();
    /// When the timer fires; the farthest time if it is not armed.
    time_point armed_at = time_point::max();
};

deadline_socket::deadline_socket(const net::any_io_executor& executor)
    : state_(std::make_shared<state>(executor))
{
}

deadline_socket::~deadline_socket()
{
    if (state_) {
        close();
    }
}

tcp::socket& deadline_socket::socket() noexcept
{
    return state_->socket;
}

void deadline_socket::expires_at(time_point deadline)
{
    state_->deadline = deadline;
    if (deadline < state_->armed_at) {
        arm(state_);
    }
}

void deadline_socket::expires_never() noexcept
{
    state_->deadline = time_point::max();
}

void deadline_socket::close()
{
    boost::system::error_code ignored;
    state_->socket.close(ignored);
    state_->timer.cancel();
}

void deadline_socket::arm(const std::shared_ptr<state>& watched)
{
    watched->armed_at = watched->deadline;
    watched->timer.expires_at(watched->deadline);
    watched->timer.async_wait(
        [known = std::weak_ptr(watched)](boost::system::error_code failed) {
            auto watched = known.lock();
            if (failed || !watched) {
                return;
            }
            watched->armed_at = time_point::max();
            if (steady_clock::now() >= watched->deadline) {
                boost::system::error_code ignored;
                watched->socket.close(ignored);
            } else if (watched->deadline != time_point::max()) {
                arm(watched);
            }
        });
}

} // namespace papayabridge
