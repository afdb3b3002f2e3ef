#pragma once

#include "config/configuration.h"
#include "config/preview_report.h"

#include <vector>

namespace mustardtrail::config
{

/// Every difference between two configurations, by subject and id.
std::vector<change_line> findChanges(const configuration &before, const configuration &after);

} // namespace mustardtrail::config
