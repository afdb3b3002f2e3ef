#pragma once

#include "base/error.h"
#include "http/request_message.h"
#include "http/response_message.h"
#include "orders/engine_order.h"
#include "orders/engine_state.h"

#include <string>

namespace mustardtrail::view
{

/// Reads an engine's answer to GET /state.
result<orders::engine_state> engineStateFrom(const result<std::string> &body);

http::request_message orderRequest(const orders::engine_order &order);

/// Failure order_fenced_off when the engine has seen a higher fencing number.
result<void> orderOutcome(const result<http::response_message> &answer);

} // namespace mustardtrail::view
