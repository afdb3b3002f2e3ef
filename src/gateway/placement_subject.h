#pragma once

#include "gateway/route_table.h"

#include <optional>
#include <set>

namespace mustardtrail::gateway
{

/// A request that is to be placed: what decides where it goes, beside the state of the fleet. Refers to the data of its owner.
struct placement_subject {
    const route_table &routes;
    const route &from;
    const service_id &service;
    service_policy policy; ///< Of the service.
    const customer_id &customer; ///< May be empty.
    const std::set<backend_server_id> &excluded;
    std::optional<std::int64_t> promptTokens{};
    std::int64_t answerTokens = 0;
    time_point arrivedAt{};
    time_point deadlineAt{};
    std::optional<time_point> lastEventAt{}; ///< Set for an interrupted stream.
    bool isPlaced = false; ///< A send of it runs.
};

/// Time that a request of the route may take. `timeLeft`: how long its caller waits, if it tells.
std::chrono::milliseconds requestTimeLimit(const route &from, std::optional<std::chrono::milliseconds> timeLeft);
/// Urgency of the request; the same for all where the service does not distinguish it.
int urgencyOf(const placement_subject &subject);
/// Whether the request has a place in the waiting order of all instances.
bool takesPartInOrder(const placement_subject &subject);
/// Profile of the engines that serve the request; null if it goes to a service without a model, or has no prompt.
const engine_profile *engineOf(const placement_subject &subject);

} // namespace mustardtrail::gateway
