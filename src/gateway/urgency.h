#pragma once

#include "gateway/published_config.h"

#include <optional>
#include <set>

namespace mustardtrail::gateway
{

constexpr int mostUrgent = 0;
constexpr int leastUrgent = 9;

/// Returns the urgency of a customer's requests on the route, 0 (most urgent) to 9: the customer's priority if it has one,
/// otherwise the route's.
int urgencyOf(const route &from, std::optional<int> customerPriority);

/// Returns the urgency that an engine is told, 0 (served first) to 9; 0 itself is kept for interrupted streams.
int engineUrgencyOf(int urgency);

/// Returns the urgencies of the routes of the streams to the service. Customers' priorities do not count: many deployments have them
/// without asking for urgency by route.
std::set<int> serviceUrgencies(const published_config &config, const service_id &service);

/// Whether the route streams answers of the service.
bool isStreamTo(const route &from, const service_id &service);

} // namespace mustardtrail::gateway
