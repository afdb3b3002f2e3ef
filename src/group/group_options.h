#pragma once

#include "group/group_planner.h"

#include <chrono>

namespace mustardtrail::group
{

/// Times of a group's life.
struct group_options {
    planner_options planner;
    std::chrono::milliseconds reservationLease{ 6000 }; ///< Ends a reservation whose group no longer renews it.
    std::chrono::milliseconds renewInterval{ 2000 };
    std::chrono::milliseconds ownerTimeout{ 500 }; ///< Answer of an owner.
    std::chrono::milliseconds engineTimeout{ 1000 }; ///< Answer of an engine, except a prefill's.
    int prefillPatience = 4; ///< A prefill that may go to other engines is given up after this many times its expected time.
    std::chrono::milliseconds backoffBase{ 20 }; ///< First wait for memory; doubles with each try.
    std::chrono::milliseconds backoffLimit{ 1000 };
    std::chrono::milliseconds releaseInterval{ 500 }; ///< Between repeats of a release that was not answered.
    std::chrono::milliseconds releaseLimit{ 60000 }; ///< After this, the owner's reconciliation frees what is left.
    std::chrono::milliseconds confirmInterval{ 100 }; ///< Between looks at a view that is not confirmed.
    int restarts = 1; ///< New generations after an engine failed.
    bool allOrNothing = true; ///< Tests switch these off to show what each is for.
    bool reserveInOrder = true;
    bool releaseOnEnd = true;
};

} // namespace mustardtrail::group
