/// \file setting_fields.hpp
/// The numeric settings of a service, as tables. The JSON form and the planners' sheet
/// are read and written from the same rows.

#pragma once

#include <chrono>
#include <papayabridge/configuration.hpp>
#include <papayabridge/settings.hpp>
#include <span>
#include <string_view>
#include <variant>

namespace papayabridge {

/// Accepted ages of reads, in milliseconds.
inline constexpr number_range accepted_age_range{0, 86'400'000};
/// The read kind that every service has; its accepted age is 0.
inline constexpr std::string_view fresh_kind = "fresh";
/// Durability: a write is acknowledged by a majority of members, or by the primary.
inline constexpr std::string_view majority_text = "majority";
inline constexpr std::string_view primary_text = "primary";
/// Longest name of a service or read kind, in bytes.
inline constexpr std::size_t longest_setting_name = 64;
/// What is_setting_name() accepts, for messages.
inline constexpr std::string_view setting_name_text =
    "1 to 64 of a-z, A-Z, 0-9, \"-\", \"_\", \".\"";

/// Whether \p name can name a service or read kind.
bool is_setting_name(std::string_view name) noexcept;

/// A pointer to one numeric member of \p Object.
template <class Object>
using number_member =
    std::variant<std::chrono::milliseconds Object::*, unsigned Object::*,
                 std::size_t Object::*, byte_count Object::*>;

/// One numeric setting of \p Object.
template <class Object>
struct number_field
{
    /// Name in the JSON form.
    const char* json_name;
    /// Name and unit in the sheet.
    std::string_view setting;
    std::string_view unit;
    number_range range;
    number_member<Object> member;

    std::uint64_t load(const Object& from) const;
    void store(Object& to, std::uint64_t value) const;
};

extern template struct number_field<rank_settings>;
extern template struct number_field<service_limits>;

/// The settings that each rank has.
std::span<const number_field<rank_settings>> rank_fields() noexcept;
/// The limits of a service.
std::span<const number_field<service_limits>> limit_fields() noexcept;

/// The shares of all ranks together, in percent.
unsigned share_sum(const service_settings& service) noexcept;

} // namespace papayabridge
