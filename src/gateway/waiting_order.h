#pragma once

#include "gateway/waiting_prompt.h"

#include <tuple>

namespace mustardtrail::gateway
{

/// Sort key of a waiting prompt; the smallest is placed first.
using waiting_order = std::tuple<bool, unsigned, std::chrono::nanoseconds, std::uint64_t>;

/// The key is the same at every instance, except that arrival times known from reports are later by the network's delay. Prompts that
/// can still be on time come before late ones, then the more urgent, then the newest.
waiting_order waitingOrder(const waiting_prompt &prompt, time_point now);

} // namespace mustardtrail::gateway
