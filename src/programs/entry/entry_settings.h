#pragma once

#include "http/server_limits.h"
#include "http/simulated_partitions.h"
#include "node/entry_options.h"
#include "settings/setting_rule.h"
#include "settings/settings_values.h"

#include <vector>

namespace mustardtrail::entry
{

/// Settings of mustardtrail-entry after all checks.
struct entry_settings {
    node::entry_options node;
    data_centre_id dataCentre;
    endpoint callers; ///< Callers' HTTP.
    endpoint peers; ///< Hops and JSON-RPC of other instances.
    endpoint admin; ///< Metrics, health, dump.
    endpoint view; ///< JSON-RPC of the view of this instance.
    int threads = 4;
    http::simulated_partitions cuts = http::simulated_partitions::forbidden; ///< For tests of partitions.
    http::server_limits limits;
    std::chrono::milliseconds balancerLag{ 2'000 }; ///< Planned stop: between not ready and no new connections.
    std::chrono::milliseconds viewInterval{ 100 }; ///< Between two questions to the view.
    std::string defaultClass; ///< Class of a request that names none; empty: such a request is refused.
};

std::vector<settings::setting_rule> entryRules();
entry_settings entrySettingsFrom(const settings::settings_values &values);

} // namespace mustardtrail::entry
