#pragma once

#include "base/endpoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace mustardtrail::membership
{

/// Address in 4 or 16 bytes and port in 2, network byte order; empty for an address that is not an IP number.
std::string packAddress(const endpoint &value);
std::optional<endpoint> unpackAddress(std::string_view bytes);

} // namespace mustardtrail::membership
