#include <papayabridge/error.hpp>

#include <array>

namespace papayabridge {

namespace {

using enum retry_advice;

constexpr std::array<error_answer, 23> table{{
    {error_kind::bad_request, "bad_request", 400, ran_state::no, after_change},
    {error_kind::bad_token, "bad_token", 400, ran_state::no, after_change},
    {error_kind::too_large, "too_large", 413, ran_state::no, after_change},
    {error_kind::not_found, "not_found", 404, ran_state::no, after_change},
    {error_kind::key_conflict, "key_conflict", 409, ran_state::no, after_change},
    {error_kind::unauthorized, "unauthorized", 401, ran_state::no, never},
    {error_kind::overloaded, "overloaded", 503, ran_state::no, later},
    {error_kind::deadline_unmeetable, "deadline_unmeetable", 503, ran_state::no, later},
    {error_kind::deadline_passed, "deadline_passed", 504, ran_state::no, later},
    {error_kind::no_primary, "no_primary", 503, ran_state::no, later},
    {error_kind::too_stale, "too_stale", 503, ran_state::no, later},
    {error_kind::behind, "behind", 503, ran_state::no, now},
    {error_kind::superseded, "superseded", 503, ran_state::no, now},
    {error_kind::leaving, "leaving", 503, ran_state::no, now},
    {error_kind::unreachable, "unreachable", 503, ran_state::no, now},
    {error_kind::not_leader, "not_leader", 503, ran_state::no, now},
    {error_kind::no_quorum, "no_quorum", 503, ran_state::no, later},
    {error_kind::version_conflict, "version_conflict", 409, ran_state::no, after_change},
    {error_kind::storage_failed, "storage_failed", 507, ran_state::no, later},
    {error_kind::statement_failed, "statement_failed", 422, ran_state::no, after_change},
    {error_kind::transaction_lost, "transaction_lost", 409, ran_state::no, now},
    {error_kind::outcome_unknown, "outcome_unknown", 504, ran_state::unknown,
     same_key_only},
    {error_kind::internal, "internal", 500, ran_state::unknown, same_key_only},
}};

constexpr bool in_order()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].kind) != i) {
            return false;
        }
    }
    return static_cast<std::size_t>(error_kind::internal) + 1 == table.size();
}
static_assert(in_order(), "one row a kind, in the order of the list");

} // namespace

std::span<const error_answer> error_answers() noexcept
{
    return table;
}

const error_answer& answer_of(error_kind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

error_kind error_kind_of(std::string_view name) noexcept
{
    for (const auto& row : table) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return error_kind::internal;
}

std::string_view to_string(ran_state ran) noexcept
{
    constexpr std::array<std::string_view, 3> names{"no", "yes", "unknown"};
    return names[static_cast<std::size_t>(ran)];
}

std::string_view to_string(retry_advice advice) noexcept
{
    constexpr std::array<std::string_view, 5> names{"never", "after_change", "now",
                                                    "later", "same_key_only"};
    return names[static_cast<std::size_t>(advice)];
}

std::string error::str() const
{
    return std::string(answer_of(kind).name) + ": " + detail;
}

} // namespace papayabridge
