#pragma once

#include "config/configuration.h"
#include "config/internal/problem_list.h"

namespace mustardtrail::config
{

/// Checks between elements: references, one address for each backend server, targets and limits in order.
void checkReferences(const configuration &value, problem_list &problems);

} // namespace mustardtrail::config
