#pragma once

#include "gateway/clock_echo.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// What one instance read from the platform's store, for the others of its data centre.
struct store_relay {
    std::uint64_t fromRevision = 0; ///< The changes are those after it.
    std::uint64_t toRevision = 0; ///< Of the store when it answered.
    std::optional<std::string> changes; ///< The store's answer; nothing when it is too large for a datagram.
    std::chrono::milliseconds graceLeft{ 0 }; ///< Servers may be missing for this long only because the store was away.
    std::vector<clock_echo> echoes; ///< Of reports that were heard before the store was asked.
};

} // namespace mustardtrail::gateway
