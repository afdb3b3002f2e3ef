#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardtrail::config
{

/// Reads a whole number with a unit: "300ms", "5s", "2min", "1h".
std::optional<std::chrono::milliseconds> durationFromText(std::string_view text);
/// Writes the largest unit that loses nothing: "5s" for 5000 ms.
std::string durationToText(std::chrono::milliseconds value);

/// Reads a whole number with a unit of bytes: "200B", "5kB", "300MB", "2GB".
std::optional<std::int64_t> bytesFromText(std::string_view text);
std::string bytesToText(std::int64_t bytes);

} // namespace mustardtrail::config
