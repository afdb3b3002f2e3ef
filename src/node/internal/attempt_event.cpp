#include "node/internal/attempt_event.h"

namespace mustardtrail::node
{

attempt_id attemptOf(const attempt_event &event)
{
    return std::visit(
        [](const auto &item) {
            return item.attempt;
        },
        event);
}

bool isLast(const attempt_event &event)
{
    return std::holds_alternative<request::attempt_finished>(event) || std::holds_alternative<request::attempt_failed>(event);
}

attempt_event renamed(attempt_event event, const attempt_id &id)
{
    std::visit(
        [&](auto &item) {
            item.attempt = id;
        },
        event);
    return event;
}

request::request_event asRequestEvent(const attempt_event &event)
{
    return std::visit(
        [](const auto &item) {
            return request::request_event(item);
        },
        event);
}

} // namespace mustardtrail::node
