#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace mustardtrail::settings
{

enum class setting_kind {
    text,
    choice, ///< One of rule::choices.
    address, ///< "IP:PORT".
    address_list, ///< "IP:PORT, IP:PORT".
    duration, ///< Number with ms, s, min or h; kept as milliseconds.
    size, ///< Number with B, KiB, MiB or GiB; kept as bytes.
    count, ///< Whole number without a unit.
    fraction, ///< Decimal number without a unit; kept, and limited, in millionths.
};

/// What a settings file may hold under one key.
struct setting_rule {
    std::string key; ///< "section.key".
    setting_kind kind = setting_kind::text;
    std::string fallback{}; ///< Used when the key is absent; empty together with required = true.
    bool required = false;
    std::int64_t least = 0; ///< In milliseconds, bytes, units or millionths.
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
    std::vector<std::string> choices{};
};

} // namespace mustardtrail::settings
