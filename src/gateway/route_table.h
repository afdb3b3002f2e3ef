#pragma once

#include "gateway/latency_count.h"
#include "gateway/published_config.h"
#include "gateway/service_policy.h"
#include "gateway/waiting_prompt.h"

#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace mustardtrail::gateway
{

/// Immutable index of one version of the configuration.
class route_table
{
public:
    explicit route_table(std::shared_ptr<const published_config> config);

    std::uint64_t version() const;
    /// Returns the route of the host with the longest matching path prefix; null when none matches.
    const route *find(std::string_view host, std::string_view path) const;
    /// Returns the customer to whom the API key belongs.
    std::optional<customer_id> customerOf(std::string_view key) const;
    bool isCustomer(const customer_id &customer) const;
    bool needsKeys() const;
    /// Returns the urgency of the customer's requests on the route, 0 (most urgent) to 9. `customer` may be empty.
    int urgencyOf(const route &from, const customer_id &customer) const;
    /// Null when the service is not published.
    const service_profile *profileOf(const service_id &service) const;
    /// Whether the key stands for a published service.
    bool isService(service_key key) const;
    /// Whether the key stands for a published route.
    bool isRoute(route_key key) const;
    /// Returns the shortest event gap target of the streams to the service; 0 without any.
    std::chrono::milliseconds shortestEventGapTarget(const service_id &service) const;
    /// Returns how requests to the service are placed; the defaults for an unknown service.
    service_policy policyOf(const service_id &service) const;
    /// Whether placement is coordinated for at least one service.
    bool hasCoordinatedService() const;

private:
    std::shared_ptr<const published_config> m_config;
    std::unordered_map<std::string, std::vector<const route *>> m_byHost; ///< Longest prefix first.
    std::map<service_id, std::chrono::milliseconds> m_shortestEventGapTarget;
    std::map<service_id, service_policy> m_policies;
    std::set<service_key> m_serviceKeys;
    std::set<route_key> m_routeKeys;
};

/// Returns the hash that stands for a service in messages between instances.
service_key keyOf(const service_id &service);

/// Selects the service for one request of the route by weight. `point` is a random number, uniform over [0, 1).
const service_id &chooseServiceByWeight(const route &from, double point);

} // namespace mustardtrail::gateway
