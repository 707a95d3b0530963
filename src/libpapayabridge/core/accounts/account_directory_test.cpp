#include "account_directory.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

pooled_configuration make_configuration()
{
    pooled_configuration configuration;
    configuration.has_accounts = true;
    configuration.accounts[account_name("a")] = {};
    configuration.keys[access_key_digest::of("k1")] = account_name("a");
    return configuration;
}

} // namespace

// A withdrawn key was used at an entry that was cut off or had been suspended.
TEST(account_directory, operations_need_a_known_key_and_a_recent_copy)
{
    struct row
    {
        const char* key;
        bool requires_account;
        std::optional<std::chrono::nanoseconds> age;
        std::optional<std::chrono::nanoseconds> max_age;
        std::optional<error_kind> refused;
        const char* account;
    };
    const row rows[] = {
        {"k1", true, {}, {}, {}, "a"},
        {"k1", true, 3s, 4s, {}, "a"},
        {"k1", true, 5s, 4s, error_kind::overloaded, ""},
        {"k1", true, {}, 4s, error_kind::overloaded, ""},
        {"k2", true, 3s, 4s, error_kind::unauthorized, ""},
        {"k2", true, {}, {}, error_kind::unauthorized, ""},
        // An old copy does not say that a key is unknown: it may have been added since.
        {"k2", true, 5s, 4s, error_kind::overloaded, ""},
        {"k2", false, 5s, 4s, {}, ""},
        {"k1", false, 5s, 4s, {}, "a"},
    };
    auto configuration = make_configuration();
    for (const auto& row : rows) {
        pooled_route route{.requires_account = row.requires_account};
        auto account =
            resolve_account(configuration, route, access_key_digest::of(row.key),
                            {.age = row.age, .max_age = row.max_age});
        ASSERT_EQ(bool(account), !row.refused);
        if (row.refused) {
            EXPECT_EQ(account.error().kind, *row.refused);
        } else {
            EXPECT_EQ(account.value(), account_name(row.account));
        }
    }
}

TEST(account_directory, key_that_moved_belongs_to_its_new_account)
{
    auto configuration = make_configuration();
    configuration.keys[access_key_digest::of("k1")] = account_name("b");
    pooled_route route{.requires_account = true};
    EXPECT_EQ(
        resolve_account(configuration, route, access_key_digest::of("k1"), {}).value(),
        account_name("b"));
}

TEST(account_directory, deployment_without_accounts_asks_for_no_key)
{
    EXPECT_EQ(
        resolve_account({}, {.requires_account = true}, {}, {.max_age = 1s}).value(),
        account_name());
}

TEST(account_directory, absent_key_is_not_the_digest_of_any_key)
{
    EXPECT_NE(access_key_digest(), access_key_digest::of(""));
    EXPECT_EQ(access_key_digest::of("k1"), access_key_digest::of("k1"));
    EXPECT_NE(access_key_digest::of("k1"), access_key_digest::of("k2"));
}

} // namespace papayabridge
