#pragma once

#include "base/clock.h"
#include "config/configuration.h"
#include "membership/backend_assignments.h"
#include "membership/peer.h"

#include <map>
#include <memory>

namespace mustardtrail::membership
{

/// Immutable view of the fleet that the request path reads.
struct fleet_view {
    std::shared_ptr<const config::configuration> config;
    instance_id self;
    data_centre_id selfDataCentre;
    bool selfLeaving = false;
    bool isolated = false; ///< No peer that the live list calls live answers: only cold limits apply.
    std::map<instance_id, peer> peers; ///< Without self.
    backend_assignments backends;
    time_point confirmedAt{}; ///< Last time the view was confirmed, on this instance's clock.

    /// True while the view may be used to send work: it was confirmed within the lease.
    bool isConfirmed(time_point now) const;
};

/// How long a confirmed view may be acted on.
constexpr std::chrono::milliseconds viewLease{ 1000 };

} // namespace mustardtrail::membership
