#pragma once

#include "gateway/route.h"

namespace mustardtrail::gateway
{

/// Time without an event after which the caller of a stream closes the connection.
std::chrono::milliseconds streamWaitLimit(const route &from);

} // namespace mustardtrail::gateway
