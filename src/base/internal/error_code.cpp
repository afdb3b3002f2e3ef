#include "base/error_code.h"

#include <charconv>
#include <cstdio>

namespace mustardtrail
{

std::string toString(error_code code)
{
    char text[16];
    std::snprintf(text, sizeof text, "MT-%04d", static_cast<int>(code));
    return text;
}

std::optional<error_code> errorCodeFromString(std::string_view text)
{
    constexpr std::string_view prefix = "MT-";
    constexpr size_t digits = 4;
    if (text.size() != prefix.size() + digits || !text.starts_with(prefix)) {
        return std::nullopt;
    }
    int number = 0;
    const auto [end, failure] = std::from_chars(text.data() + prefix.size(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return static_cast<error_code>(number);
}

} // namespace mustardtrail
