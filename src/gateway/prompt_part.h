#pragma once

#include <cstdint>

namespace mustardtrail::gateway
{

/// Identity of a shared part of a prompt at one service: hash of both.
using prompt_part = std::uint64_t;

} // namespace mustardtrail::gateway
