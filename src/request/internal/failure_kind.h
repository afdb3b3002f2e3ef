#pragma once

#include "base/error_code.h"

namespace mustardtrail::request
{

/// Whether a retry at another backend server may succeed after this failure.
bool isRetryable(error_code code);

/// Whether the failure is that of the owning instance rather than of its backend server.
bool isInstanceFailure(error_code code);

/// Whether the caller may succeed with a later retry after this failure.
bool mayCallerRetry(error_code code);

} // namespace mustardtrail::request
