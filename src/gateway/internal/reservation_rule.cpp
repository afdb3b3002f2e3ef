#include "gateway/reservation_rule.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds orderMargin{ 500 }; ///< From the decision on a renewal until the engine has carried it out.
constexpr milliseconds longestSilence{ 1'700 }; ///< Of a sound engine.
constexpr milliseconds retryDelay{ 1'000 }; ///< From the end of the silence to the next renewal, on an instance with a late event loop.
constexpr int maxRenewalsPerLease = 9; ///< Bounds the orders where the limits leave too little time to outlast a silence.

} // namespace

reservation_limits reservation_limits::within(milliseconds unusedLimit, milliseconds freedLimit)
{
    reservation_limits limits;
    // A renewal without proof comes at most one interval after the end of the request.
    const milliseconds intervalAndLease = std::max(freedLimit - orderMargin, orderMargin);
    limits.renewalInterval = std::max((intervalAndLease - longestSilence - retryDelay) / 2, intervalAndLease / (maxRenewalsPerLease + 1));
    limits.lease = intervalAndLease - limits.renewalInterval;
    limits.retryInterval = std::min(limits.retryInterval, limits.renewalInterval);
    limits.unproven = std::max(unusedLimit - limits.lease - orderMargin, limits.renewalInterval);
    return limits;
}

bool needsProofOfUse(const reservation_age &age, const reservation_limits &limits, time_point now)
{
    if (age.lastEventAt) {
        return now - *age.lastEventAt >= limits.renewalInterval;
    }
    // The next renewal would come too late.
    return now + limits.renewalInterval - age.reservedAt > limits.unproven;
}

renewal_step renewalStep(memory_use use, const reservation_age &age)
{
    switch (use) {
    case memory_use::used:
        return renewal_step::renew;
    case memory_use::unused:
        // A request that is preempted in the middle of its answer goes on later.
        return age.lastEventAt ? renewal_step::skip : renewal_step::give_up;
    case memory_use::gone:
        return renewal_step::skip;
    case memory_use::unknown:
        break;
    }
    // An answer that has begun is worth a lease too many; memory that nobody has used yet is not.
    return age.lastEventAt ? renewal_step::renew : renewal_step::skip;
}

} // namespace mustardtrail::gateway
