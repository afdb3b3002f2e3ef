#include "orders/action_log.h"

#include "base/log_line.h"

namespace mustardtrail::orders
{

namespace
{

std::chrono::milliseconds untilThen(time_point when, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(when - now);
}

std::string write(const read_state &action, time_point now)
{
    return log_line("read_state").add("backend_server", action.backend.str()).add("deadline", untilThen(action.deadline, now)).str();
}

std::string write(const send_order &action, time_point now)
{
    log_line line("send_order");
    line.add("backend_server", action.backend.str()).add("order", toString(action.order.kind));
    if (action.order.kind == order_kind::change_role) {
        line.add("role", action.order.role);
    } else {
        line.add("model", action.order.model.model.str()).add("version", action.order.model.version);
    }
    line.add("fencing", static_cast<std::int64_t>(action.order.fencingNumber));
    return line.add("deadline", untilThen(action.deadline, now)).add("not_after", untilThen(action.notAfter, now)).str();
}

} // namespace

std::string logLineOf(const order_action &action, time_point now)
{
    return std::visit(
        [now](const auto &value) {
            return write(value, now);
        },
        action);
}

} // namespace mustardtrail::orders
