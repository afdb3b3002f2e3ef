#pragma once

#include <compare>
#include <cstdint>

namespace mustardtrail::gateway
{

/// Greatest era or revision, the last integer that every reader of JSON keeps exactly; greater ones are damaged.
inline constexpr std::uint64_t maxStoreNumber = (std::uint64_t{ 1 } << 53U) - 1;

/// A point in the history of the platform's store. Its revisions go back and are given out again when it is restored from an
/// older copy, which raises the era; so positions are ordered by era first.
struct store_position {
    std::uint64_t era = 0; ///< 0 with a store that does not tell it.
    std::uint64_t revision = 0;

    // clang-tidy 14 reads the generated comparison with 0 as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const store_position &) const = default;
};

inline bool isPossible(const store_position &position)
{
    return position.era <= maxStoreNumber && position.revision <= maxStoreNumber;
}

} // namespace mustardtrail::gateway
