#include "account_directory.hpp"

namespace papayabridge {

result<account_name> resolve_account(const pooled_configuration& configuration,
                                     const pooled_route& route,
                                     const access_key_digest& key,
                                     const directory_validity& validity)
{
    if (!configuration.has_accounts) {
        return account_name();
    }
    auto found = configuration.keys.find(key);
    if (!route.requires_account) {
        return found == configuration.keys.end() ? account_name() : found->second;
    }
    if (validity.max_age && (!validity.age || *validity.age > *validity.max_age)) {
        return fail(error_kind::overloaded,
                    "this entry cannot confirm which access keys are in force");
    }
    if (found == configuration.keys.end()) {
        return fail(error_kind::unauthorized, "the access key is not known");
    }
    return found->second;
}

} // namespace papayabridge
