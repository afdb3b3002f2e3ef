#pragma once

#include <cstddef>
#include <string>

namespace mustardtrail::placement::bench
{

/// Prefix followed by a number: "g12".
inline std::string numberedName(const char *prefix, std::size_t number)
{
    std::string name(prefix);
    name += std::to_string(number);
    return name;
}

} // namespace mustardtrail::placement::bench
