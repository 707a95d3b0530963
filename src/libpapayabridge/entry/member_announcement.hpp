/// \file member_announcement.hpp
/// Decoder of the announcements that members send to entries.

#pragma once

#include <papayabridge/control_state.hpp>

namespace papayabridge {

/// Decodes the body of an announcement. `bad_request` if it names no member that can be
/// used.
result<announce_member> decode_member_announcement(std::string_view text);

} // namespace papayabridge
