#include "setting_fields.hpp"

#include <algorithm>
#include <array>

namespace papayabridge {

namespace {

constexpr std::uint64_t hour_ms = 3'600'000;
constexpr std::uint64_t most_worth = 1'000'000;
constexpr std::uint64_t most_queued = 1'000'000;
constexpr std::uint64_t most_in_progress = 1'000'000;
// What the HTTP server of an entry takes at most.
constexpr std::uint64_t most_body_bytes = 1024ULL * 1024;

constexpr std::array<number_field<rank_settings>, 5> ranks{{
    {"target_ms", "target", "ms", {1, hour_ms}, &rank_settings::target},
    {"worth", "worth", "", {1, most_worth}, &rank_settings::worth},
    {"share_percent", "share", "percent", {0, 100}, &rank_settings::share_percent},
    {"queue_limit",
     "queue limit",
     "requests",
     {1, most_queued},
     &rank_settings::queue_limit},
    {"deadline_ms", "deadline", "ms", {1, hour_ms}, &rank_settings::deadline},
}};

constexpr std::array<number_field<service_limits>, 3> limits{{
    {"caller_in_progress",
     "caller in progress",
     "requests",
     {1, most_in_progress},
     &service_limits::caller_in_progress},
    {"body_bytes",
     "body bytes",
     "bytes",
     {1, most_body_bytes},
     &service_limits::body_bytes},
    {"transaction_lifetime_ms",
     "transaction lifetime",
     "ms",
     {1, hour_ms},
     &service_limits::transaction_lifetime},
}};

std::uint64_t plain(std::chrono::milliseconds value)
{
    return static_cast<std::uint64_t>(value.count());
}
std::uint64_t plain(std::uint64_t value)
{
    return value;
}
std::uint64_t plain(byte_count value)
{
    return value.value();
}

bool is_name_character(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           c == '-' || c == '_' || c == '.';
}

} // namespace

bool is_setting_name(std::string_view name) noexcept
{
    return !name.empty() && name.size() <= longest_setting_name &&
           std::all_of(name.begin(), name.end(), is_name_character);
}

template <class Object>
std::uint64_t number_field<Object>::load(const Object& from) const
{
    return std::visit([&](auto pointer) { return plain(from.*pointer); }, member);
}

template <class Object>
void number_field<Object>::store(Object& to, std::uint64_t value) const
{
    auto assign = [&](auto pointer) {
        using value_type = std::remove_reference_t<decltype(to.*pointer)>;
        to.*pointer = static_cast<value_type>(value);
    };
    std::visit(assign, member);
}

template struct number_field<rank_settings>;
template struct number_field<service_limits>;

std::span<const number_field<rank_settings>> rank_fields() noexcept
{
    return ranks;
}

std::span<const number_field<service_limits>> limit_fields() noexcept
{
    return limits;
}

unsigned share_sum(const service_settings& service) noexcept
{
    unsigned sum = 0;
    for (const auto& one : service.ranks) {
        sum += one.share_percent;
    }
    return sum;
}

} // namespace papayabridge
