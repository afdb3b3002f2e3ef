#pragma once

#include <cstdint>

namespace mustardtrail
{

/// Count of model tokens.
using token_count = std::int64_t;

} // namespace mustardtrail
