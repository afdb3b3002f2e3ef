#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace mustardtrail::placement
{

/// Memory of an engine that is kept for an attempt which waits at the owner.
struct memory_claim {
    attempt_id attempt;
    token_count tokens = 0;
};

} // namespace mustardtrail::placement
