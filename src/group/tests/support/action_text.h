#pragma once

#include "group/group_actions.h"

#include <string>

namespace mustardtrail::group::testing
{

/// One line of a golden file for an action.
std::string actionText(const group_action &action);

} // namespace mustardtrail::group::testing
