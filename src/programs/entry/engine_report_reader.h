#pragma once

#include "base/error.h"
#include "group/engine_holdings.h"
#include "placement/prefix_estimate.h"

#include <string_view>
#include <vector>

namespace mustardtrail::entry
{

/// Load report of an engine as JSON text. `receivedAt` minus the age it names is when it held.
result<placement::engine_report> engineReportFrom(const backend_server_id &backend, std::string_view text, time_point receivedAt);

std::vector<placement::cache_event> cacheEventsFrom(std::string_view text);

std::vector<group::reported_group> groupsFrom(std::string_view text);

} // namespace mustardtrail::entry
