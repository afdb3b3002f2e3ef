#pragma once

#include "base/units.h"

#include <cstdint>
#include <string>

namespace mustardtrail::api
{

enum class completion_kind {
    text, ///< POST /v1/completions
    chat, ///< POST /v1/chat/completions
};

/// What the system needs to know of a completion request; the body itself is forwarded as it came.
struct completion_fields {
    completion_kind kind = completion_kind::text;
    std::string model;
    bool stream = false;
    bool includeUsage = false; ///< stream_options.include_usage
    token_count maxNewTokens = 0;
    token_count promptTokens = 0;
    std::uint64_t leadingBlockHash = 0; ///< Of the first leadingBlockBytes of the prompt.
    size_t bodyObjectStart = 0; ///< Offset behind the opening brace of the body.
};

constexpr size_t leadingBlockBytes = 2048;
constexpr token_count defaultMaxNewTokens = 16;
constexpr token_count largestMaxNewTokens = 1'000'000;
constexpr size_t bytesPerToken = 4;

} // namespace mustardtrail::api
