#pragma once

#include "gateway/attempt_failure.h"

#include <chrono>
#include <string_view>

namespace mustardtrail::gateway
{

/// Counts the failed sends of one request by how far they came, and bounds each kind by itself: what nobody ran must not use up the
/// right to a second run.
class send_tally
{
public:
    void record(const attempt_failure &failure);
    /// Servers that did not run the request are to be tried again, as no other is left.
    void recordReadmission();
    /// Names the limit that is reached; empty while the request may be sent again.
    std::string_view reachedLimit() const;
    /// How long to wait before the next send: a request that is otherwise lost outlasts a moment in which no server takes it.
    std::chrono::milliseconds pauseBeforeNext() const;

private:
    unsigned m_unreserved = 0; ///< Since the last send that may have run, like the next two.
    unsigned m_unreached = 0;
    unsigned m_refused = 0;
    unsigned m_ran = 0; ///< May have run.
    bool m_isInVain = false; ///< The next send may well come to the same.
};

} // namespace mustardtrail::gateway
