#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>

namespace mustardtrail::membership
{

/// Who may send to a backend server, and whether it takes new work.
struct backend_assignment {
    instance_id owner; ///< Empty: no live instance in its data centre.
    bool acceptsNewWork = false; ///< False: out of service, leaving, or its data centre is out.
    time_point ownedSince{}; ///< Set when this instance is the owner: start of unbroken ownership.
    std::uint64_t fencingNumber = 0; ///< Set when this instance is the owner; grows with each change of owner.

    bool operator==(const backend_assignment &) const = default;
};

} // namespace mustardtrail::membership
