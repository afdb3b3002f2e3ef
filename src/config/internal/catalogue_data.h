#pragma once

#include <array>
#include <cstddef>
#include <vector>

namespace mustardtrail::config
{

constexpr std::size_t languageCount = 2; ///< In the order of the enum language.

struct catalogue_text {
    const char *title;
    const char *text;
    const char *action;
};

struct catalogue_message {
    int code;
    std::array<catalogue_text, languageCount> texts;
};

struct catalogue_word {
    const char *name;
    std::array<const char *, languageCount> texts;
};

/// Generated; both in order.
extern const std::vector<catalogue_message> catalogueMessages;
extern const std::vector<catalogue_word> catalogueWords;

} // namespace mustardtrail::config
