#pragma once

namespace mustardtrail::gateway
{

/// Evidence against a part of prompts.
struct part_suspicion {
    unsigned crashesInARow = 0; ///< That no quarantined part explains.
    bool hasOtherExplanation = false; ///< Another part was at all of them.
    bool isQuarantined = false;
};

} // namespace mustardtrail::gateway
