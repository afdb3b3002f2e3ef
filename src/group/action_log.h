#pragma once

#include "group/group_actions.h"
#include "group/reconcile_actions.h"

#include <string>

namespace mustardtrail::group
{

/// One line of key=value pairs for an action; times are given from `now` on.
std::string logLineOf(const group_action &action, time_point now);
std::string logLineOf(const reconcile_action &action, time_point now);

} // namespace mustardtrail::group
