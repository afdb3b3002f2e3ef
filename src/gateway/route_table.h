#pragma once

#include "gateway/published_config.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace mustardtrail::gateway
{

/// Look-ups in one version of the configuration. Immutable.
class route_table
{
public:
    explicit route_table(published_config config);

    std::uint64_t version() const;
    /// Route of the host with the longest prefix that begins the path; null when there is none.
    const route *find(std::string_view host, std::string_view path) const;
    /// Customer that holds the key.
    std::optional<customer_id> customerOf(std::string_view key) const;
    bool needsKeys() const;
    /// Null when the service is not published.
    const service_profile *profileOf(const service_id &service) const;

private:
    published_config m_config;
    std::unordered_map<std::string, std::vector<const route *>> m_byHost; ///< Longest prefix first.
};

/// Service for one request of the route; `point` is uniform over [0, 1).
const service_id &chooseServiceByWeight(const route &from, double point);

} // namespace mustardtrail::gateway
