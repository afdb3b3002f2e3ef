#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "orders/engine_order.h"

#include <variant>
#include <vector>

namespace mustardtrail::orders
{

struct read_state {
    backend_server_id backend;
    time_point deadline{};
};

struct send_order {
    backend_server_id backend;
    engine_order order;
    time_point deadline{};
    time_point notAfter{}; ///< Not to be sent from this time on.
};

using order_action = std::variant<read_state, send_order>;
using order_actions = std::vector<order_action>;

} // namespace mustardtrail::orders
