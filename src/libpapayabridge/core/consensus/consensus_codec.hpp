/// \file consensus_codec.hpp
/// JSON form of the keepers' log and messages.

#pragma once

#include "consensus_messages.hpp"

#include <json/value.h>

namespace papayabridge {

/// A message as JSON, with its bulk (entries or a snapshot) beside it.
struct encoded_message
{
    Json::Value body{Json::objectValue};
    std::string bulk;
};

encoded_message encode(const consensus_message& message);
/// `bad_request` if malformed.
result<consensus_message> decode(const encoded_message& message);

Json::Value to_value(const log_entry& entry);
result<log_entry> log_entry_from(const Json::Value& value);
Json::Value to_value(const std::vector<log_entry>& entries);
/// Refuses the whole list if one entry is malformed.
result<std::vector<log_entry>> log_entries_from(const Json::Value& value);
Json::Value to_value(const voter_map& voters);
voter_map voters_from(const Json::Value& value);
Json::Value to_value(const hard_state& hard);
hard_state hard_state_from(const Json::Value& value);
/// Index, term and voters of a snapshot, without its state.
Json::Value header_to_value(const log_snapshot& snapshot);
log_snapshot header_from(const Json::Value& value);

} // namespace papayabridge
