#pragma once

#include <chrono>

namespace mustardtrail::membership
{

/// Bounds for the confirmation of the view.
struct confirmation_settings {
    std::chrono::milliseconds pauseBound{ 500 }; ///< A longer gap between ticks is a pause of the process.
    std::chrono::milliseconds isolatedAfter{ 1500 }; ///< Without an ack from anyone.
    size_t refreshAcks = 2; ///< Different peers that must answer after a pause.
    std::chrono::milliseconds fewerAcksAfter{ 1000 }; ///< One answer is enough after this.
    std::chrono::milliseconds refreshTimeout{ 5000 }; ///< Longest wait for a newer configuration that nobody hands over.

    bool detectsPauses = true; ///< Off only in tests of this mechanism.
};

} // namespace mustardtrail::membership
