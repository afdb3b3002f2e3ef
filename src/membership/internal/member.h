#pragma once

#include "base/clock.h"
#include "membership/member_news.h"

#include <optional>

namespace mustardtrail::membership
{

/// Record of one member with what this node alone knows about it.
struct member {
    member_news news;
    bool listed = false; ///< The last good list has it.
    bool listLeaving = false; ///< The list calls it leaving.
    bool suspectedHere = false; ///< This node raised the suspicion and gives the member the chance to contradict.
    time_point stateSince{};
    std::optional<time_point> lastHeard; ///< Any datagram of it, or an ack passed on.
    std::optional<time_point> leavingLostAt; ///< A leaving member stopped answering.

    peer_state state() const
    {
        return news.member.state;
    }
    bool isReachable() const
    {
        return state() == peer_state::alive || state() == peer_state::suspect || state() == peer_state::leaving;
    }
};

/// Takes the addresses over that were told; empty ones tell nothing.
void adoptEndpoints(peer &known, const peer &told);

} // namespace mustardtrail::membership
