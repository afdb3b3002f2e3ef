#include "gateway/placement_subject.h"

#include "gateway/engine_timing.h"
#include "gateway/server_work.h"
#include "gateway/urgency.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::milliseconds defaultTimeLeft{ 30'000 }; ///< For a caller that sends no deadline.

} // namespace

std::chrono::milliseconds requestTimeLimit(const route &from, std::optional<std::chrono::milliseconds> timeLeft)
{
    const std::chrono::milliseconds limit = timeLeft.value_or(defaultTimeLeft);
    return from.timeout.count() > 0 ? std::min(limit, from.timeout) : limit;
}

int urgencyOf(const placement_subject &subject)
{
    return subject.policy.distinguishesUrgency ? subject.routes.urgencyOf(subject.from, subject.customer) : mostUrgent;
}

bool takesPartInOrder(const placement_subject &subject)
{
    const bool isLong = subject.from.eventGapTarget > maxLatencySensitiveGap;
    return subject.policy.isCoordinated && isLong && !subject.lastEventAt && subject.promptTokens;
}

const engine_profile *engineOf(const placement_subject &subject)
{
    const service_profile *profile = subject.routes.profileOf(subject.service);
    return profile && profile->engine && subject.promptTokens ? &*profile->engine : nullptr;
}

} // namespace mustardtrail::gateway
