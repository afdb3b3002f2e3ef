#pragma once

#include "gateway/published_config.h"

namespace mustardtrail::gateway
{

/// How requests to a service are placed, derived from one version of the configuration.
struct service_policy {
    bool distinguishesUrgency = false; ///< The priorities of its streams or of their customers differ, so more urgent ones go first.
    /// Instances share one waiting order and keep within the event gap targets of all streams. In force where urgencies differ,
    /// or where one part of a long prompt takes as long as streams may pause.
    bool isCoordinated = false;
};

service_policy policyFor(const published_config &config, const service_id &service);

} // namespace mustardtrail::gateway
