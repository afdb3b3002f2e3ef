#pragma once

#include <cstdint>

namespace mustardtrail::gateway
{

/// IPv4 address of an instance as a number. All instances of a fleet listen on the same ports, so the address is enough.
using peer_address = std::uint32_t;

} // namespace mustardtrail::gateway
