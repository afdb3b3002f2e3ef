#pragma once

#include "base/clock.h"
#include "group/group_plan.h"

#include <cstdint>
#include <optional>
#include <set>

namespace mustardtrail::group
{

/// One engine of a running group, with what its owner and the engine have promised.
struct group_member {
    segment part;
    std::set<instance_id> askedOwners; ///< Each may hold a reservation.
    instance_id owner; ///< Asked last.
    std::uint64_t ownerSequence = 0; ///< Of the request that awaits an answer; 0: none.
    time_point ownerAskedAt{};
    std::optional<time_point> grantedAt; ///< When the granted request was sent; the lease runs from there at the latest.
    std::uint64_t fencingNumber = 0;
    std::uint64_t engineSequence = 0; ///< Of the kv_reserve that awaits an answer; 0: none.
    time_point engineAskedAt{};
    bool calledEngine = false; ///< Something may be held there.
    std::optional<time_point> reservedAt; ///< When the accepted kv_reserve was sent.
    time_point renewAt{};
};

} // namespace mustardtrail::group
