#include "settings/quantity.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace mustardtrail::settings
{

namespace
{

struct unit {
    std::string_view name;
    std::int64_t factor;
};

template<size_t count> std::optional<std::int64_t> withUnit(std::string_view text, const std::array<unit, count> &units)
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || number < 0) {
        return std::nullopt;
    }
    const std::string_view rest(end, text.data() + text.size() - end);
    for (const unit &candidate : units) {
        if (rest != candidate.name) {
            continue;
        }
        if (number > std::numeric_limits<std::int64_t>::max() / candidate.factor) {
            return std::nullopt;
        }
        return number * candidate.factor;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::int64_t> millisecondsFromText(std::string_view text)
{
    constexpr std::array<unit, 4> units{ { { "ms", 1 }, { "s", 1000 }, { "min", 60'000 }, { "h", 3'600'000 } } };
    return withUnit(text, units);
}

std::optional<std::int64_t> bytesFromText(std::string_view text)
{
    constexpr std::array<unit, 4> units{ { { "B", 1 }, { "KiB", 1LL << 10 }, { "MiB", 1LL << 20 }, { "GiB", 1LL << 30 } } };
    return withUnit(text, units);
}

std::optional<std::int64_t> countFromText(std::string_view text)
{
    constexpr std::array<unit, 1> units{ { { "", 1 } } };
    return withUnit(text, units);
}

std::optional<std::int64_t> millionthsFromText(std::string_view text)
{
    constexpr double millionths = 1e6;
    constexpr double largest = 1e9; // Far from the limits of the result.
    double number = 0.0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    const bool isWhole = failure == std::errc{} && end == text.data() + text.size();
    if (!isWhole || !(number >= 0.0 && number <= largest)) { // Not a number compares as neither.
        return std::nullopt;
    }
    return std::llround(number * millionths);
}

} // namespace mustardtrail::settings
