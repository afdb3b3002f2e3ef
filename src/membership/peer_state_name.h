#pragma once

#include "membership/peer.h"

#include <string_view>

namespace mustardtrail::membership
{

/// Word for logs and dumps: "alive", "suspect", "leaving" or "dead".
std::string_view toString(peer_state state);

} // namespace mustardtrail::membership
