#include "gateway/route_table.h"

#include "base/hash.h"
#include "gateway/urgency.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char byte) {
        return static_cast<char>(std::tolower(byte));
    });
    return lower;
}

} // namespace

route_table::route_table(std::shared_ptr<const published_config> config)
    : m_config(std::move(config))
{
    for (const route &each : m_config->routes) {
        m_byHost[lowerCase(each.host)].push_back(&each);
        m_routeKeys.insert(hash64(each.name));
        if (!each.isStream || each.eventGapTarget.count() <= 0) {
            continue;
        }
        for (const service_share &share : each.services) {
            const auto [shortest, isFirst] = m_shortestEventGapTarget.try_emplace(share.service, each.eventGapTarget);
            shortest->second = std::min(shortest->second, each.eventGapTarget);
        }
    }
    for (const auto &[service, profile] : m_config->services) {
        m_policies[service] = policyFor(*m_config, service);
        m_serviceKeys.insert(keyOf(service));
    }
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const route *left, const route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
}

std::uint64_t route_table::version() const
{
    return m_config->version;
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(lowerCase(host.substr(0, host.find(':'))));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    for (const route *each : found->second) {
        if (path.starts_with(each->pathPrefix)) {
            return each;
        }
    }
    return nullptr;
}

std::optional<customer_id> route_table::customerOf(std::string_view key) const
{
    const auto found = m_config->customerByKey.find(std::string(key));
    if (found == m_config->customerByKey.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool route_table::isCustomer(const customer_id &customer) const
{
    return std::any_of(m_config->customerByKey.begin(), m_config->customerByKey.end(), [&](const auto &entry) {
        return entry.second == customer;
    });
}

bool route_table::needsKeys() const
{
    return m_config->needsKeys;
}

int route_table::urgencyOf(const route &from, const customer_id &customer) const
{
    const auto found = m_config->customerPriorities.find(customer);
    const bool hasOwn = found != m_config->customerPriorities.end();
    return gateway::urgencyOf(from, hasOwn ? std::optional<int>(found->second) : std::nullopt);
}

const service_profile *route_table::profileOf(const service_id &service) const
{
    const auto found = m_config->services.find(service);
    return found == m_config->services.end() ? nullptr : &found->second;
}

bool route_table::isService(service_key key) const
{
    return m_serviceKeys.contains(key);
}

bool route_table::isRoute(route_key key) const
{
    return m_routeKeys.contains(key);
}

std::chrono::milliseconds route_table::shortestEventGapTarget(const service_id &service) const
{
    const auto found = m_shortestEventGapTarget.find(service);
    return found == m_shortestEventGapTarget.end() ? std::chrono::milliseconds(0) : found->second;
}

service_policy route_table::policyOf(const service_id &service) const
{
    const auto found = m_policies.find(service);
    return found == m_policies.end() ? service_policy() : found->second;
}

service_key keyOf(const service_id &service)
{
    return hash64(service.str());
}

bool route_table::hasCoordinatedService() const
{
    return std::any_of(m_policies.begin(), m_policies.end(), [](const auto &entry) {
        return entry.second.isCoordinated;
    });
}

const service_id &chooseServiceByWeight(const route &from, double point)
{
    unsigned total = 0;
    for (const service_share &share : from.services) {
        total += share.weight;
    }
    double remaining = point * total;
    for (const service_share &share : from.services) {
        remaining -= share.weight;
        if (remaining < 0.0) {
            return share.service;
        }
    }
    return from.services.back().service;
}

} // namespace mustardtrail::gateway
