#include "placement/length_class.h"

#include <algorithm>
#include <cmath>

namespace mustardtrail::placement
{

namespace
{

constexpr double referencePromptTokens = 1024;
constexpr std::chrono::duration<double> referenceTarget{ 0.25 };
/// Coarse steps put prompts of similar length into one priority, so that the longer ones are not starved.
constexpr double doublingsPerPriority = 2;

} // namespace

length_class lengthClassOf(token_count promptTokens)
{
    if (promptTokens <= shortPromptLimit) {
        return length_class::short_prompt;
    }
    return promptTokens <= longPromptLimit ? length_class::medium_prompt : length_class::long_prompt;
}

std::string_view toString(length_class value)
{
    switch (value) {
    case length_class::short_prompt:
        return "short";
    case length_class::medium_prompt:
        return "medium";
    case length_class::long_prompt:
        return "long";
    }
    return "unknown";
}

int priorityOf(token_count promptTokens, std::chrono::nanoseconds firstTokenTarget)
{
    const double length = std::max(1.0, static_cast<double>(promptTokens) / referencePromptTokens);
    const double target = std::max(1.0, std::chrono::duration<double>(firstTokenTarget) / referenceTarget);
    const int urgency = static_cast<int>((std::log2(length) + std::log2(target)) / doublingsPerPriority);
    return std::clamp(urgency, 0, leastUrgentPriority);
}

} // namespace mustardtrail::placement
