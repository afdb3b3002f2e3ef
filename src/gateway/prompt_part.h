#pragma once

#include <cstdint>

namespace mustardtrail::gateway
{

/// Identity of a shared part of a prompt in messages between instances: hash of its id. The same at all services, as a part
/// that crashes servers does so wherever its route leads.
using prompt_part = std::uint64_t;

} // namespace mustardtrail::gateway
