#include "base/hash.h"

#include <xxhash.h>

namespace mustardtrail
{

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return hash64(candidate, hash64(key));
}

} // namespace mustardtrail
