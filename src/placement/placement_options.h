#pragma once

#include "base/units.h"

#include <chrono>
#include <cstddef>

namespace mustardtrail::placement
{

enum class long_placement {
    spread, ///< Engine with the shortest prediction.
    concentrate, ///< Engine that holds most long work and still has room.
};

/// Bounds of the decisions; set by the programs, never by operators.
struct placement_options {
    std::chrono::milliseconds liveListLag{ 3000 }; ///< Longest lag of the platform's live list.
    std::chrono::milliseconds engineBacklog{ 40 }; ///< Prefill work sent ahead to one engine; the rest waits at the owner.
    std::chrono::milliseconds reportStaleAfter{ 5000 }; ///< A limit does not grow on an older report.
    std::chrono::milliseconds queueCheckInterval{ 10 }; ///< Between two looks at a queue that holds work.
    std::chrono::milliseconds slowCheckInterval{ 500 }; ///< Between two looks for late first tokens.
    std::size_t maxCandidates = 8; ///< Backend servers looked at for one decision.
    std::size_t maxQueued = 4096; ///< Attempts waiting in one pool.
    int longWaitMargin = 7; ///< Long prompts are admitted when their predicted wait fits this many times.
    int mediumWaitMargin = 6; ///< The same for medium prompts.
    int maxLongPrefills = 1; ///< Long prompts in prefill on one engine.
    double longLeavesFree = 0.1; ///< Part of an engine's memory that long prompts leave to shorter ones.
    double mediumLeavesFree = 0.1; ///< Part that medium prompts leave to short ones.
    double longClaimsBelow = 0.6; ///< Part of its target left when a queued long prompt claims memory; 0: never.
    double mediumClaimsBelow = 0.9; ///< The same for medium prompts.
    bool predictsMemoryWait = true; ///< Medium prompts are admitted only when the memory they wait for comes free in time.
    bool longTakesShare = false; ///< Arrivals of long prompts count in the part of the rate that more urgent work takes.
    long_placement longPlacement = long_placement::spread;
};

/// Options of the scheduler before queued prompts claimed memory; the bench compares with them.
inline placement_options optionsWithoutClaims()
{
    placement_options options;
    options.longWaitMargin = 4;
    options.mediumWaitMargin = 1;
    options.longClaimsBelow = 0;
    options.mediumClaimsBelow = 0;
    options.predictsMemoryWait = false;
    options.longTakesShare = true;
    return options;
}

} // namespace mustardtrail::placement
