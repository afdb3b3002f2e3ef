#pragma once

#include "base/units.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardtrail::standin
{

/// Digest of a prompt; a segment continues the digest of the one before.
constexpr std::uint64_t emptyDigest = 14695981039346656037ULL;
std::uint64_t extendDigest(std::uint64_t digest, std::string_view text);

/// Answer tokens [from, from + count) of the prompt with this digest.
std::string answerTokens(std::uint64_t digest, token_count from, token_count count);

} // namespace mustardtrail::standin
