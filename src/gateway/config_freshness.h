#pragma once

#include "base/clock.h"

#include <optional>

namespace mustardtrail::gateway
{

/// How long ago the configuration in force was known to be the published one. Counted from before the question, so that
/// a slow answer makes it older. Answers keys that are taken away while the store cannot be reached.
class config_freshness
{
public:
    explicit config_freshness(std::chrono::milliseconds limit);

    /// The store confirmed the state of the moment when it was asked.
    void confirm(time_point askedAt);
    std::optional<time_point> confirmedAt() const;
    /// Whether requests with keys may be served.
    bool isFresh(time_point now) const;

private:
    std::chrono::milliseconds m_limit;
    std::optional<time_point> m_confirmedAt;
};

} // namespace mustardtrail::gateway
