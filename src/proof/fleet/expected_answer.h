#pragma once

#include <cstddef>
#include <string>

namespace mustardtrail::proof
{

/// Prompt of the given size, the same each time.
std::string testPrompt(size_t bytes);

/// Answer that the stand-in engines give to testPrompt(bytes).
std::string expectedAnswer(size_t promptBytes, int tokens);

} // namespace mustardtrail::proof
