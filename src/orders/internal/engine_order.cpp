#include "orders/engine_order.h"

namespace mustardtrail::orders
{

std::string_view toString(order_kind kind)
{
    switch (kind) {
    case order_kind::load:
        return "load";
    case order_kind::unload:
        return "unload";
    case order_kind::change_role:
        return "role";
    }
    return "load";
}

} // namespace mustardtrail::orders
