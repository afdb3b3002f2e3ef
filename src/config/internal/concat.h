#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace mustardtrail::config
{

/// Joins texts. In place of operator+ on a literal, for which g++ 12 warns of an overlap that cannot happen.
inline std::string concat(std::initializer_list<std::string_view> parts)
{
    std::string result;
    for (const std::string_view part : parts) {
        result += part;
    }
    return result;
}

} // namespace mustardtrail::config
