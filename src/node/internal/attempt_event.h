#pragma once

#include "request/request_events.h"

#include <variant>

namespace mustardtrail::node
{

/// Event of an attempt on its way to the origin.
using attempt_event = std::variant<request::attempt_accepted, request::attempt_output, request::attempt_finished, request::attempt_failed>;

attempt_id attemptOf(const attempt_event &event);
/// True when no event of the attempt follows.
bool isLast(const attempt_event &event);
/// The event under another attempt id.
attempt_event renamed(attempt_event event, const attempt_id &id);
request::request_event asRequestEvent(const attempt_event &event);

} // namespace mustardtrail::node
