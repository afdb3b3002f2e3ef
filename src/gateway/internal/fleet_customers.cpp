#include "gateway/fleet_state.h"

#include <string>

namespace mustardtrail::gateway
{

void fleet_state::logProblems(const published_config &config)
{
    for (const std::string &problem : config.problems) {
        m_log("config_field_unsound", std::to_string(config.version), problem);
    }
    for (const std::string &problem : config.limits.problems) {
        m_log("config_field_unsound", std::to_string(config.version), problem);
    }
}

// Only periodic reports hold figures, so one without any leaves the earlier ones until they expire.
void fleet_state::recordCustomerUse(peer_address from, const instance_id &source, const std::vector<customer_prefill> &use, time_point now)
{
    if (use.empty()) {
        return;
    }
    for (const std::string &damaged : customerUse.replacePeerUse(from, use, now)) {
        m_log("customer_use_damaged", source.str(), damaged);
    }
}

std::vector<customer_prefill> fleet_state::reportedCustomerUse(time_point now) const
{
    return routes && routes->hasCoordinatedService() ? customerUse.largest(now) : std::vector<customer_prefill>();
}

} // namespace mustardtrail::gateway
