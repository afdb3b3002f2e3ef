#pragma once

#include "http/client.h"
#include "settings/settings_values.h"

#include <string>

/// Control of simulated network partitions, for tests with real processes; see docs/design/cuts.md.
namespace mustardtrail::host
{

/// Path on an admin port; it answers not found unless simulated partitions are allowed.
inline constexpr std::string_view partitionPath = "/testing/cuts";

/// Allowed only with `testing.allow_cuts = yes` and a loopback `listen` address; logs whether the setting is ignored.
http::simulated_partitions simulatedPartitionsFrom(const settings::settings_values &values, const endpoint &listen);

/// Handles {"cut":["IP:PORT",...]}, all endpoints to partition the client from. Must run on the client's executor.
http::response_message applyPartition(http::client &client, const std::string &body);

} // namespace mustardtrail::host
