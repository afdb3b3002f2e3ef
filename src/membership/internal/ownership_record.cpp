#include "membership/internal/ownership_record.h"

#include "base/hash.h"

namespace mustardtrail::membership
{

namespace
{

// Milliseconds since 1970 take 41 bits until 2039 and 43 until 2248; with 10 more a number stays below 2^53, so
// that it survives any JSON reader.
constexpr unsigned tieBreakerBits = 10;

} // namespace

ownership_record::ownership_record(const instance_id &self)
    : m_tieBreaker(hash64(self.str()) & ((1U << tieBreakerBits) - 1))
{
}

std::uint64_t ownership_record::numberAt(std::uint64_t logicalTime) const
{
    return logicalTime << tieBreakerBits | m_tieBreaker;
}

void ownership_record::update(const std::set<backend_server_id> &owned, logical_clock &clock, time_point now)
{
    std::erase_if(m_claims, [&owned](const auto &entry) {
        return !owned.contains(entry.first);
    });
    if (m_claims.size() == owned.size()) {
        return;
    }
    const std::uint64_t number = numberAt(clock.next());
    for (const backend_server_id &server : owned) {
        m_claims.try_emplace(server, claim{ now, number });
    }
}

void ownership_record::interrupt()
{
    m_claims.clear();
}

void ownership_record::raiseAbove(const backend_server_id &server, std::uint64_t highest, logical_clock &clock)
{
    const auto found = m_claims.find(server);
    if (found == m_claims.end() || found->second.fencingNumber >= highest) {
        return;
    }
    clock.heard(highest >> tieBreakerBits);
    found->second.fencingNumber = numberAt(clock.next());
}

const std::map<backend_server_id, ownership_record::claim> &ownership_record::claims() const
{
    return m_claims;
}

} // namespace mustardtrail::membership
