#include "gateway/fleet_state.h"

namespace mustardtrail::gateway
{

// Not every report holds these figures, so one without any leaves the earlier ones until they expire.
void fleet_state::recordSecondCopyUse(
    peer_address from, const instance_id &source, std::uint64_t incarnation, const std::vector<second_copy_use> &use, time_point now)
{
    if (secondCopies.limit <= 0.0 || use.empty()) {
        return;
    }
    const auto isKnownService = [this](service_key service) {
        return routes && routes->isService(service);
    };
    for (const std::string &ignored : secondCopies.account.recordReported(from, incarnation, use, isKnownService, now)) {
        m_log("second_copy_use_ignored", source.str(), ignored);
    }
}

void fleet_state::recordLatencyCounts(
    peer_address from, const instance_id &source, const std::vector<latency_count> &counts, time_point now)
{
    if (secondCopies.limit <= 0.0 || counts.empty()) {
        return;
    }
    const auto isKnownRoute = [this](route_key route) {
        return routes && routes->isRoute(route);
    };
    for (const std::string &ignored : secondCopies.latencies.replaceReported(from, counts, isKnownRoute, now)) {
        m_log("latency_counts_ignored", source.str(), ignored);
    }
}

} // namespace mustardtrail::gateway
