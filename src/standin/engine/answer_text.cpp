#include "standin/engine/answer_text.h"

#include "base/hash.h"

#include <cstdio>

namespace mustardtrail::standin
{

std::uint64_t extendDigest(std::uint64_t digest, std::string_view text)
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    for (const char character : text) {
        digest = (digest ^ static_cast<unsigned char>(character)) * prime;
    }
    return digest;
}

std::string answerTokens(std::uint64_t digest, token_count from, token_count count)
{
    constexpr int hiddenBits = 48;
    std::string text;
    const std::string base = std::to_string(digest) + ":";
    for (token_count index = from; index < from + count; ++index) {
        char token[8];
        std::snprintf(token, sizeof token, "%04x ", static_cast<unsigned>(hash64(base + std::to_string(index)) >> hiddenBits));
        text += token;
    }
    return text;
}

} // namespace mustardtrail::standin
