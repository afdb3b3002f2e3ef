#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace mustardtrail::placement
{

/// Memory of an engine that is claimed for an attempt queued at the owner.
struct memory_claim {
    attempt_id attempt;
    token_count tokens = 0;
};

} // namespace mustardtrail::placement
