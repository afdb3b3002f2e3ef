#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace mustardtrail::settings
{

/// "250ms", "3s", "2min", "1h" to milliseconds; nothing without a unit.
std::optional<std::int64_t> millisecondsFromText(std::string_view text);

/// "512B", "64KiB", "8MiB", "1GiB" to bytes; nothing without a unit.
std::optional<std::int64_t> bytesFromText(std::string_view text);

/// Whole number, nothing else around it.
std::optional<std::int64_t> countFromText(std::string_view text);

/// Decimal number such as "0.05", not negative, to millionths, rounded.
std::optional<std::int64_t> millionthsFromText(std::string_view text);

} // namespace mustardtrail::settings
