#pragma once

#include "http/client.h"
#include "settings/settings_values.h"

#include <string>

/// Switch for tests of network partitions between real processes; see docs/design/cuts.md.
namespace mustardtrail::host
{

/// Path of the switch on an admin port; not found unless cuts are allowed.
inline constexpr std::string_view partitionPath = "/testing/cuts";

/// Allowed only by `testing.allow_cuts = yes` at a loopback address; both allowed and ignored are logged.
http::simulated_partitions simulatedPartitionsFrom(const settings::settings_values &values, const endpoint &listen);

/// Takes {"cut":["IP:PORT",...]}: the whole set of endpoints that the client is cut off from. On the client's executor.
http::response_message applyPartition(http::client &client, const std::string &body);

} // namespace mustardtrail::host
