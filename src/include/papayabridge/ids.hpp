/// \file ids.hpp
/// Strong types for names, identifiers and log positions.

#pragma once

#include <charconv>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace papayabridge {

/// A string identifier of one kind. Identifiers of different kinds do not convert to each
/// other.
template <class Tag>
class strong_name
{
public:
    strong_name() = default;
    explicit strong_name(std::string text) : text_(std::move(text)) {}

    const std::string& str() const noexcept { return text_; }
    bool empty() const noexcept { return text_.empty(); }

    friend auto operator<=>(const strong_name&, const strong_name&) = default;

private:
    std::string text_;
};

/// A named group of databases.
using service_name = strong_name<struct service_tag>;
/// One database; the name is unique within its service.
using database_name = strong_name<struct database_tag>;
/// One member (primary or replica) of a database; the identifier is unique in the fleet.
using member_id = strong_name<struct member_tag>;
/// One entry process.
using entry_id = strong_name<struct entry_tag>;
/// One keeper process.
using keeper_id = strong_name<struct keeper_tag>;
/// One failure domain.
using domain_name = strong_name<struct domain_tag>;
/// One region, which contains failure domains.
using region_name = strong_name<struct region_tag>;
/// One caller, as its requests name it; the unit of fair scheduling and of limits.
using caller_id = strong_name<struct caller_tag>;
/// A client account: the customer whose callers name one of its access keys.
using account_name = strong_name<struct account_tag>;
/// One request; it keeps the identifier in every process that handles it.
using request_id = strong_name<struct request_tag>;
/// Identifies a configuration change. Chosen by the sender, so that resending a change
/// has no further effect.
using change_id = strong_name<struct change_tag>;

/// A database and its service.
struct database_key
{
    service_name service;
    database_name database;

    friend auto operator<=>(const database_key&, const database_key&) = default;
    /// "service/database".
    std::string str() const { return service.str() + "/" + database.str(); }
};

/// Parses "service/database". Empty if there is not exactly one slash.
std::optional<database_key> parse_database_key(std::string_view text);

/// An unsigned number of one kind. Numbers of different kinds do not convert to each
/// other.
template <class Tag>
class strong_count
{
public:
    constexpr strong_count() = default;
    constexpr explicit strong_count(std::uint64_t value) : value_(value) {}

    constexpr std::uint64_t value() const noexcept { return value_; }
    constexpr strong_count next() const noexcept { return strong_count(value_ + 1); }

    friend constexpr auto operator<=>(strong_count, strong_count) = default;

private:
    std::uint64_t value_ = 0;
};

/// Term of a database. Each promotion and each gate change uses a higher one.
using term = strong_count<struct term_tag>;
/// Index in a database's replicated log; 0 is before the first write.
using log_index = strong_count<struct index_tag>;
/// Version of the configuration; 0 is the empty configuration.
using config_version = strong_count<struct config_tag>;
/// Index in the keepers' replicated log.
using control_index = strong_count<struct control_tag>;
/// A number of bytes.
using byte_count = strong_count<struct byte_tag>;

/// A position in a database's log, ordered by term and then by index.
struct position
{
    papayabridge::term term;
    log_index index;

    friend constexpr auto operator<=>(const position&, const position&) = default;
    /// "term.index".
    std::string str() const;
};

/// Parses "term.index". Empty if malformed.
std::optional<position> parse_position(std::string_view text);

/// The smallest majority of \p size members.
constexpr std::size_t majority_of(std::size_t size) noexcept
{
    return size / 2 + 1;
}

/// Parses all of \p text as an unsigned decimal number. Empty if malformed or too large.
std::optional<std::uint64_t> parse_unsigned(std::string_view text);

} // namespace papayabridge

template <class Tag>
struct std::hash<papayabridge::strong_name<Tag>>
{
    std::size_t operator()(const papayabridge::strong_name<Tag>& name) const noexcept
    {
        return std::hash<std::string>()(name.str());
    }
};

template <>
struct std::hash<papayabridge::database_key>
{
    std::size_t operator()(const papayabridge::database_key& key) const noexcept
    {
        return std::hash<std::string>()(key.service.str()) * 31 +
               std::hash<std::string>()(key.database.str());
    }
};
