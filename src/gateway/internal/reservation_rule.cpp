#include "gateway/reservation_rule.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds orderMargin{ 500 }; ///< From the decision on a renewal until the engine has carried it out.

} // namespace

reservation_limits reservation_limits::within(milliseconds unusedLimit, milliseconds freedLimit)
{
    constexpr int renewalsPerLease = 3;
    reservation_limits limits;
    // A renewal without proof comes at most one interval after the end of the request.
    limits.renewalInterval = std::max(freedLimit - orderMargin, orderMargin) / (renewalsPerLease + 1);
    limits.lease = limits.renewalInterval * renewalsPerLease;
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
        return renewal_step::give_up;
    case memory_use::gone:
        return renewal_step::skip;
    case memory_use::unknown:
        break;
    }
    // An answer that has begun is worth a lease too many; memory that nobody has used yet is not.
    return age.lastEventAt ? renewal_step::renew : renewal_step::skip;
}

} // namespace mustardtrail::gateway
