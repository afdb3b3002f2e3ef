#include "placement/candidate_ring.h"

#include "base/hash.h"

#include <algorithm>
#include <numeric>

namespace mustardtrail::placement
{

namespace
{

constexpr std::uint32_t pointsPerMember = 4;

/// Finaliser of SplitMix64: spreads a sum of two hashes over all bits.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

void candidate_ring::assign(const std::vector<std::string_view> &names)
{
    m_hashes.clear();
    m_points.clear();
    for (const std::string_view name : names) {
        const auto member = static_cast<std::uint32_t>(m_hashes.size());
        const std::uint64_t hash = hash64(name);
        m_hashes.push_back(hash);
        for (std::uint32_t copy = 0; copy < pointsPerMember; ++copy) {
            m_points.push_back({ mix(hash + copy), member });
        }
    }
    std::sort(m_points.begin(), m_points.end(), [](const point &left, const point &right) {
        return left.position < right.position;
    });
}

std::size_t candidate_ring::size() const
{
    return m_hashes.size();
}

void candidate_ring::pick(std::uint64_t key, std::uint64_t salt, std::size_t count, std::vector<std::uint32_t> &picked) const
{
    picked.clear();
    if (m_hashes.size() <= count) {
        rankAll(key, picked);
        return;
    }
    for (std::size_t probe = 0; probe < count; ++probe) {
        const std::uint64_t seed = probe * 2 < count ? key : salt;
        const std::uint32_t member = successor(mix(seed + probe));
        if (std::find(picked.begin(), picked.end(), member) == picked.end()) {
            picked.push_back(member);
        }
    }
}

std::uint32_t candidate_ring::successor(std::uint64_t position) const
{
    const auto found = std::lower_bound(m_points.begin(), m_points.end(), position, [](const point &other, std::uint64_t wanted) {
        return other.position < wanted;
    });
    return found == m_points.end() ? m_points.front().member : found->member;
}

void candidate_ring::rankAll(std::uint64_t key, std::vector<std::uint32_t> &picked) const
{
    picked.resize(m_hashes.size());
    std::iota(picked.begin(), picked.end(), 0U);
    std::sort(picked.begin(), picked.end(), [&](std::uint32_t left, std::uint32_t right) {
        return mix(m_hashes[left] ^ key) > mix(m_hashes[right] ^ key);
    });
}

} // namespace mustardtrail::placement
