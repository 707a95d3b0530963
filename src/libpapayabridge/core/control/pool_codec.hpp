/// \file pool_codec.hpp
/// JSON form of the commands of pool_state.hpp.

#pragma once

#include <papayabridge/pool_state.hpp>

namespace papayabridge {

Json::Value encode(const publish_configuration& change);
Json::Value encode(const register_keeper& change);
Json::Value encode(const report_member& change);
Json::Value encode(const remove_member& change);
Json::Value encode(const begin_promotion& change);
Json::Value encode(const choose_target& change);
Json::Value encode(const confirm_primary& change);
Json::Value encode(const suspect_primary& change);
Json::Value encode(const read_barrier& change);

publish_configuration publish_configuration_from(const Json::Value& value);
register_keeper register_keeper_from(const Json::Value& value);
report_member report_member_from(const Json::Value& value);
remove_member remove_member_from(const Json::Value& value);
begin_promotion begin_promotion_from(const Json::Value& value);
choose_target choose_target_from(const Json::Value& value);
confirm_primary confirm_primary_from(const Json::Value& value);
suspect_primary suspect_primary_from(const Json::Value& value);

} // namespace papayabridge
