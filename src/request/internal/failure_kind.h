#pragma once

#include "base/error_code.h"

namespace mustardtrail::request
{

/// Whether another backend server may do better after this failure.
bool isRetryable(error_code code);

/// Whether the instance failed rather than the backend server behind it.
bool isInstanceFailure(error_code code);

/// Whether the caller may do better later after this failure.
bool mayCallerRetry(error_code code);

} // namespace mustardtrail::request
