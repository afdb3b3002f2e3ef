#pragma once

#include <cstdint>

namespace mustardtrail::gateway
{

/// IPv4 address as a number; instances of one fleet listen on the same ports.
using peer_address = std::uint32_t;

} // namespace mustardtrail::gateway
