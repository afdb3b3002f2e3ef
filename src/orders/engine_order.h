#pragma once

#include "orders/engine_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardtrail::orders
{

enum class order_kind {
    load,
    unload,
    change_role,
};

/// One order to an engine; the same order twice does no harm.
struct engine_order {
    order_kind kind = order_kind::load;
    loaded_model model; ///< load and unload.
    std::string role; ///< change_role.
    std::uint64_t fencingNumber = 0;

    bool operator==(const engine_order &) const = default;
};

/// Wire name: "load", "unload" or "role".
std::string_view toString(order_kind kind);

} // namespace mustardtrail::orders
