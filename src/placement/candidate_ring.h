#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace mustardtrail::placement
{

/// Consistent-hash ring that picks a few members for a key. The cost of a pick grows with the number picked and, by a binary
/// search, with the logarithm of the set. A set no larger than the number asked for is ranked by rendezvous hashing instead.
class candidate_ring
{
public:
    /// Replaces the members; pick returns their indices in this list.
    void assign(const std::vector<std::string_view> &names);
    std::size_t size() const;

    /// Picks up to count members: the first half by key, in order of preference; the others by salt, so that load spreads.
    void pick(std::uint64_t key, std::uint64_t salt, std::size_t count, std::vector<std::uint32_t> &picked) const;

private:
    struct point {
        std::uint64_t position = 0;
        std::uint32_t member = 0;
    };

    std::uint32_t successor(std::uint64_t position) const;
    void rankAll(std::uint64_t key, std::vector<std::uint32_t> &picked) const;

    std::vector<std::uint64_t> m_hashes;
    std::vector<point> m_points;
};

} // namespace mustardtrail::placement
