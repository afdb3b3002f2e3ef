#pragma once

#include <optional>
#include <string_view>

namespace mustardtrail::config
{

/// Language of messages for operators.
enum class language {
    english,
    spanish,
};

/// "en" or "es".
std::string_view toString(language value);
std::optional<language> languageFromString(std::string_view text);

} // namespace mustardtrail::config
