#pragma once

#include "membership/view_core.h"

#include <string>

namespace mustardtrail::membership
{

/// One line of text for an event or an action of a node at a time.
std::string describe(const std::string &node, time_point now, const view_event &event);
std::string describe(const std::string &node, time_point now, const view_action &action);

} // namespace mustardtrail::membership
