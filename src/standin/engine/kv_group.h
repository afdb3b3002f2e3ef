#pragma once

#include "base/clock.h"
#include "base/units.h"

#include <cstdint>
#include <string>

namespace mustardtrail::standin
{

/// Memory that the engine keeps for one part of a long prompt.
struct kv_group {
    std::string group;
    token_count reservedTokens = 0;
    token_count segmentTokens = 0;
    std::uint64_t digest = 0; ///< Of the prompt up to the end of this segment.
    bool hasDigest = false;
    std::string ticket; ///< Of the export; empty when not exported.
    bool imported = false;
    time_point leaseEnd{};
};

} // namespace mustardtrail::standin
