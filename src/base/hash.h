#pragma once

#include <cstdint>
#include <string_view>

namespace mustardtrail
{

/// 64-bit XXH3 hash, the same on every machine.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Rendezvous weight of a candidate for a key: the candidate with the highest weight wins.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace mustardtrail
