#include "log_queue.hpp"

#include <algorithm>

namespace papayabridge {

bool log_queue::offer(queued_line line)
{
    auto& to = lanes_[static_cast<std::size_t>(row_of(line.event).kind)];
    if (to.bytes + line.text.size() > most_bytes_) {
        return false;
    }
    to.bytes += line.text.size();
    to.lines.push_back(std::move(line));
    return true;
}

std::string log_queue::take(std::size_t most_bytes)
{
    std::string text;
    for (auto& from : lanes_) {
        while (!from.lines.empty()) {
            const auto& next = from.lines.front().text;
            if (!text.empty() && text.size() + 1 + next.size() > most_bytes) {
                return text;
            }
            text += text.empty() ? "" : "\n";
            text += next;
            from.bytes -= next.size();
            from.lines.pop_front();
        }
    }
    return text;
}

bool log_queue::empty() const noexcept
{
    return std::all_of(lanes_.begin(), lanes_.end(),
                       [](const auto& one) { return one.lines.empty(); });
}

} // namespace papayabridge
