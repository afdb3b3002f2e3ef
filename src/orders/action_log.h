#pragma once

#include "orders/order_actions.h"

#include <string>

namespace mustardtrail::orders
{

/// One line of key=value pairs for an action; times are given from `now` on.
std::string logLineOf(const order_action &action, time_point now);

} // namespace mustardtrail::orders
