#pragma once

#include "config/config_entry.h"
#include "config/config_patch.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace mustardtrail::config
{

/// What the service or a peer says has changed after a base revision.
struct config_update {
    std::int64_t revision = 0; ///< Revision of the sender.
    std::int64_t base = 0; ///< The update holds what changed after this revision.
    bool complete = false; ///< Holds every key, deleted ones included.
    std::vector<config_entry> entries;
    std::vector<config_patch> patches; ///< Only from peers.
    std::optional<std::chrono::milliseconds> confirmedAgo; ///< Peers: since the service confirmed this revision to them.

    bool operator==(const config_update &) const = default;
};

} // namespace mustardtrail::config
