#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardtrail
{

/// IP address and port.
struct endpoint {
    std::string address; ///< Numeric IPv4 or IPv6 address, never a host name.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

/// "127.0.0.1:8080" or "[::1]:8080".
std::string toString(const endpoint &value);
std::optional<endpoint> endpointFromString(std::string_view text);

} // namespace mustardtrail
