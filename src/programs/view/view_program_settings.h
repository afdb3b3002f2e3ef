#pragma once

#include "http/simulated_partitions.h"
#include "membership/view_settings.h"
#include "settings/setting_rule.h"
#include "settings/settings_values.h"

#include <vector>

namespace mustardtrail::view
{

/// Settings of mustardtrail-view after all checks.
struct view_program_settings {
    membership::view_settings core;
    endpoint listen; ///< UDP: peers' datagrams. TCP, same port: JSON-RPC, metrics, dump.
    endpoint platform; ///< Configuration service, live list, weight store.
    http::simulated_partitions cuts = http::simulated_partitions::forbidden; ///< For tests of partitions.
    std::chrono::milliseconds stopLimit{ 600'000 }; ///< Planned stop: longest wait for the entry of this instance.
};

std::vector<settings::setting_rule> viewRules();
view_program_settings viewSettingsFrom(const settings::settings_values &values);

} // namespace mustardtrail::view
