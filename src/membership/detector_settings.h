#pragma once

#include <chrono>

namespace mustardtrail::membership
{

/// Rates and bounds of failure detection. The cost of a node does not depend on the size of the fleet.
struct detector_settings {
    std::chrono::milliseconds probeInterval{ 200 }; ///< One probe each.
    int remoteEvery = 5; ///< Every so many probes go to another data centre.
    int deadEvery = 10; ///< After every so many probes one goes to a member that is held for dead.
    std::chrono::milliseconds directTimeout{ 150 }; ///< Then other members are asked to probe.
    std::chrono::milliseconds indirectTimeout{ 450 }; ///< Then the member is suspected.
    int helpers = 2; ///< Members asked to probe.
    std::chrono::milliseconds suspicionTimeout{ 2000 }; ///< Then the suspect is declared dead.
    std::chrono::seconds forgetAfter{ 60 }; ///< A dead member that is not listed is forgotten then.
    int repeatFactor = 4; ///< Times that news of members is passed on, per decimal digit of the fleet's size and once more.
    int listingRepeatFactor = 8; ///< Same for changes of the list, which nobody tells again.
    int newsPerDatagram = 6;
    int pushFanout = 3; ///< Probes sent at once when something new must spread.

    bool indirectProbes = true; ///< Off only in tests of this mechanism.
    bool refutation = true; ///< Off only in tests of this mechanism.
};

} // namespace mustardtrail::membership
