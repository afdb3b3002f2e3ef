#include "gateway/service_policy.h"

#include "gateway/engine_timing.h"
#include "gateway/urgency.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

// A pass holds a part and the decode steps of the streams beside it; longer parts leave too little of the gap target for these.
constexpr double longPartShare = 0.5;

bool hasLongParts(const engine_profile &engine, std::chrono::milliseconds longestGapTarget)
{
    const auto part = prefillTime(engine, engine.memoryTokens) / static_cast<std::int64_t>(maxParts);
    return longestGapTarget.count() > 0 && part > longestGapTarget * longPartShare;
}

} // namespace

service_policy policyFor(const published_config &config, const service_id &service)
{
    std::chrono::milliseconds longestGapTarget{ 0 };
    for (const route &each : config.routes) {
        if (isStreamTo(each, service)) {
            longestGapTarget = std::max(longestGapTarget, each.eventGapTarget);
        }
    }
    const auto profile = config.services.find(service);
    const bool isModel = profile != config.services.end() && profile->second.engine;
    service_policy policy;
    policy.distinguishesUrgency = isModel && serviceUrgencies(config, service).size() > 1;
    policy.isCoordinated = policy.distinguishesUrgency || (isModel && hasLongParts(*profile->second.engine, longestGapTarget));
    return policy;
}

} // namespace mustardtrail::gateway
