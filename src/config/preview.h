#pragma once

#include "config/configuration.h"
#include "config/preview_report.h"

namespace mustardtrail::config
{

/// Lines of one sort that are listed; the rest are counted.
constexpr int maxLinesOfOneSort = 20;
/// Prompt that the fleet is to hold.
constexpr token_count longestPromptTokens = 1'000'000;
/// Load on what remains, against 100 before, above which a warning is given.
constexpr int loadWarningPercent = 150;

/// What putting one configuration in force after another would do.
preview_report preview(const configuration &before, const configuration &after);

} // namespace mustardtrail::config
