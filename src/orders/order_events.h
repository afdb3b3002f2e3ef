#pragma once

#include "base/error.h"
#include "membership/fleet_view.h"
#include "orders/engine_state.h"

#include <memory>
#include <variant>

namespace mustardtrail::orders
{

struct view_updated {
    std::shared_ptr<const membership::fleet_view> view;
};

/// Answer to read_state.
struct state_read {
    backend_server_id backend;
    engine_state state;
};

struct state_failed {
    backend_server_id backend;
    error failure;
};

struct order_accepted {
    backend_server_id backend;
};

struct order_failed {
    backend_server_id backend;
    error failure; ///< order_fenced_off when the engine has seen a higher number.
};

using order_event = std::variant<view_updated, state_read, state_failed, order_accepted, order_failed>;

} // namespace mustardtrail::orders
