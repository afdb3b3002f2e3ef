#pragma once

#include "node/entry_actions.h"

#include <string>

namespace mustardtrail::node::testing
{

/// One action of an entry node as a line of key=value pairs; times are given as what is left of them.
std::string toText(const entry_action &action, time_point now);

} // namespace mustardtrail::node::testing
