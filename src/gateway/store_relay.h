#pragma once

#include "gateway/clock_echo.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Store changes that one instance read and relays to the other instances of its data centre.
struct store_relay {
    std::uint64_t era = 0; ///< Of both revisions.
    std::uint64_t fromRevision = 0; ///< The relay holds the changes after this revision.
    std::uint64_t toRevision = 0; ///< Revision of the store when it answered.
    std::optional<std::string> changes; ///< Compressed; not set when too large for a datagram.
    std::chrono::milliseconds graceLeft{ 0 }; ///< Remaining grace period in which missing servers are kept after a store outage.
    std::vector<clock_echo> echoes; ///< Timestamps of reports received before the store query was sent.
};

} // namespace mustardtrail::gateway
