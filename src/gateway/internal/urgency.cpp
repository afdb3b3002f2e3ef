#include "gateway/urgency.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr int engineUrgencyOffset = 1; // Keeps 0 for interrupted streams; the two least urgent levels share 9.

} // namespace

bool isStreamTo(const route &from, const service_id &service)
{
    return from.isStream && std::any_of(from.services.begin(), from.services.end(), [&](const service_share &share) {
        return share.service == service;
    });
}

int urgencyOf(const route &from, std::optional<int> customerPriority)
{
    return std::clamp(customerPriority.value_or(from.priority), mostUrgent, leastUrgent);
}

int engineUrgencyOf(int urgency)
{
    return std::min(std::clamp(urgency, mostUrgent, leastUrgent) + engineUrgencyOffset, leastUrgent);
}

std::set<int> serviceUrgencies(const published_config &config, const service_id &service)
{
    std::set<int> urgencies;
    for (const route &each : config.routes) {
        if (isStreamTo(each, service)) {
            urgencies.insert(urgencyOf(each, std::nullopt));
        }
    }
    return urgencies;
}

} // namespace mustardtrail::gateway
