#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace mustardtrail::placement
{

/// Picks a few members for a key at a cost that grows with the count picked only, apart from a binary search.
/// Small sets are ranked by rendezvous hashing as a whole.
class candidate_ring
{
public:
    /// Members are known by their position in the list.
    void assign(const std::vector<std::string_view> &names);
    std::size_t size() const;

    /// Up to count members: the first half by key, in order of preference; the others by salt.
    void pick(std::uint64_t key, std::uint64_t salt, std::size_t count, std::vector<std::uint32_t> &picked) const;

private:
    struct point {
        std::uint64_t place = 0;
        std::uint32_t member = 0;
    };

    std::uint32_t successor(std::uint64_t place) const;
    void rankAll(std::uint64_t key, std::vector<std::uint32_t> &picked) const;

    std::vector<std::uint64_t> m_hashes;
    std::vector<point> m_points;
};

} // namespace mustardtrail::placement
