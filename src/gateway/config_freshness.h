#pragma once

#include "base/clock.h"

#include <optional>

namespace mustardtrail::gateway
{

/// Tracks how stale the configuration in force may be. The age counts from the start of the store query that confirmed it,
/// so a slow response makes it older. Guards against accepting API keys that were revoked while the store is unreachable.
class config_freshness
{
public:
    explicit config_freshness(std::chrono::milliseconds limit);

    /// Records that the configuration in force includes all changes published before `askedAt`, the start of the store query.
    void confirm(time_point askedAt);
    std::optional<time_point> confirmedAt() const;
    /// Whether the last confirmation is recent enough to serve requests that need an API key.
    bool isFresh(time_point now) const;

private:
    std::chrono::milliseconds m_limit;
    std::optional<time_point> m_confirmedAt;
};

} // namespace mustardtrail::gateway
