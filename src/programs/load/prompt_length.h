#pragma once

#include "base/units.h"

namespace mustardtrail::load
{

/// Classes of prompt length in the tables.
enum class prompt_length {
    short_prompt, ///< 1,000 to 8,192 tokens
    middle_prompt, ///< to 100,000 tokens
    long_prompt, ///< above
};

constexpr token_count shortPromptLeast = 1'000;
constexpr token_count shortPromptMost = 8'192;
constexpr token_count middlePromptMost = 100'000;

constexpr prompt_length lengthOf(token_count tokens)
{
    if (tokens <= shortPromptMost) {
        return prompt_length::short_prompt;
    }
    return tokens <= middlePromptMost ? prompt_length::middle_prompt : prompt_length::long_prompt;
}

} // namespace mustardtrail::load
