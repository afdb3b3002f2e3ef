#pragma once

#include "gateway/route.h"

namespace mustardtrail::gateway
{

/// How long the caller of a stream waits for its first or next event before it leaves.
std::chrono::milliseconds streamWaitLimit(const route &from);

} // namespace mustardtrail::gateway
