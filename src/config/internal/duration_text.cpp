#include "config/duration_text.h"

#include <array>
#include <charconv>
#include <limits>

namespace mustardtrail::config
{

namespace
{

struct unit {
    std::string_view name;
    std::int64_t factor;
};

constexpr std::array<unit, 4> timeUnits{ { { "h", 3'600'000 }, { "min", 60'000 }, { "s", 1'000 }, { "ms", 1 } } };
constexpr std::array<unit, 5> byteUnits{
    { { "TB", 1'000'000'000'000 }, { "GB", 1'000'000'000 }, { "MB", 1'000'000 }, { "kB", 1'000 }, { "B", 1 } }
};

template<size_t count> std::optional<std::int64_t> read(std::string_view text, const std::array<unit, count> &units)
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || number < 0) {
        return std::nullopt;
    }
    const std::string_view name = text.substr(static_cast<size_t>(end - text.data()));
    for (const unit &candidate : units) {
        if (candidate.name != name) {
            continue;
        }
        if (number > std::numeric_limits<std::int64_t>::max() / candidate.factor) {
            return std::nullopt;
        }
        return number * candidate.factor;
    }
    return std::nullopt;
}

template<size_t count> std::string write(std::int64_t value, const std::array<unit, count> &units)
{
    for (const unit &candidate : units) {
        if (value != 0 && value % candidate.factor == 0) {
            return std::to_string(value / candidate.factor) + std::string(candidate.name);
        }
    }
    std::string zero(1, '0');
    return zero.append(units.back().name);
}

} // namespace

std::optional<std::chrono::milliseconds> durationFromText(std::string_view text)
{
    const std::optional<std::int64_t> value = read(text, timeUnits);
    if (!value) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*value);
}

std::string durationToText(std::chrono::milliseconds value)
{
    return write(value.count(), timeUnits);
}

std::optional<std::int64_t> bytesFromText(std::string_view text)
{
    return read(text, byteUnits);
}

std::string bytesToText(std::int64_t bytes)
{
    return write(bytes, byteUnits);
}

} // namespace mustardtrail::config
