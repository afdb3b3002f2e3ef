#pragma once

#include "membership/peer_message.h"

namespace mustardtrail::membership
{

/// Message with the peer it goes to.
struct outgoing_message {
    endpoint to;
    instance_id receiver; ///< Empty: not known by id.
    peer_message message;
};

} // namespace mustardtrail::membership
