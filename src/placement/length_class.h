#pragma once

#include "base/units.h"

#include <chrono>
#include <string_view>

namespace mustardtrail::placement
{

enum class length_class {
    short_prompt, ///< Up to shortPromptLimit.
    medium_prompt, ///< Up to longPromptLimit.
    long_prompt, ///< Above longPromptLimit; the number in prefill is limited per engine.
};

constexpr token_count shortPromptLimit = 8192;
constexpr token_count longPromptLimit = 100000;

/// Priorities run from 0 (most urgent) to this value.
constexpr int leastUrgentPriority = 31;

length_class lengthClassOf(token_count promptTokens);
std::string_view toString(length_class value);

/// Priority at an engine: grows with the logarithm of prompt length times first-token target.
int priorityOf(token_count promptTokens, std::chrono::nanoseconds firstTokenTarget);

} // namespace mustardtrail::placement
