#include "placement/memory_ledger.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

/// Ended attempts are remembered this long, since delayed reports may still list them.
constexpr std::chrono::seconds endedRetention{ 30 };
/// An attempt that a report still lists this long after its end is an orphan.
constexpr std::chrono::seconds orphanGrace{ 2 };

} // namespace

void memory_ledger::setCapacity(token_count tokens)
{
    m_capacity = tokens;
}

void memory_ledger::start(const attempt_id &attempt, token_count tokens)
{
    if (m_own.emplace(attempt, tokens).second) {
        m_ownTokens += tokens;
    }
}

void memory_ledger::end(const attempt_id &attempt, time_point now)
{
    const auto found = m_own.find(attempt);
    if (found == m_own.end()) {
        return;
    }
    m_ownTokens -= found->second;
    m_own.erase(found);
    m_ended[attempt] = now;
}

bool memory_ledger::hold(const std::string &group, token_count tokens, time_point until, time_point now)
{
    expire(now);
    const auto found = m_holds.find(group);
    const token_count held = found == m_holds.end() ? 0 : found->second.tokens;
    if (tokens - held > free()) {
        return false;
    }
    const time_point from = found == m_holds.end() ? now : found->second.from;
    m_heldTokens += tokens - held;
    m_holds[group] = { tokens, from, until };
    return true;
}

void memory_ledger::release(const std::string &group)
{
    const auto found = m_holds.find(group);
    if (found == m_holds.end()) {
        return;
    }
    m_heldTokens -= found->second.tokens;
    m_holds.erase(found);
}

bool memory_ledger::holds(const std::string &group) const
{
    return m_holds.contains(group);
}

int memory_ledger::heldGroups() const
{
    return static_cast<int>(m_holds.size());
}

void memory_ledger::expire(time_point now)
{
    std::erase_if(m_holds, [&](const auto &entry) {
        const bool over = entry.second.until <= now;
        m_heldTokens -= over ? entry.second.tokens : 0;
        return over;
    });
}

time_point memory_ledger::nextExpiry() const
{
    time_point next = time_point::max();
    for (const auto &[group, held] : m_holds) {
        next = std::min(next, held.until);
    }
    return next;
}

void memory_ledger::applyReport(const engine_report &report)
{
    if (report.memoryTokens > 0) {
        m_capacity = report.memoryTokens;
    }
    m_orphans.clear();
    m_foreignRequests = 0;
    m_foreignTokens = 0;
    token_count streamTokens = 0;
    for (const reported_stream &stream : report.streams) {
        streamTokens += stream.heldTokens;
        // A group's completion request uses the group's name as its attempt id and is counted with the hold.
        if (m_own.contains(stream.attempt) || m_holds.contains(stream.attempt.str())) {
            continue;
        }
        if (m_ended.contains(stream.attempt)) {
            if (!endedBefore(stream.attempt, report.takenAt)) {
                continue;
            }
            m_orphans.push_back(stream.attempt);
        }
        m_foreignTokens += stream.heldTokens;
        ++m_foreignRequests;
    }
    token_count knownHolds = 0;
    for (const auto &[group, held] : m_holds) {
        knownHolds += held.from <= report.takenAt ? held.tokens : 0;
    }
    m_foreignTokens += std::max<token_count>(0, report.usedTokens - streamTokens - knownHolds);
    forgetEnded(report.takenAt);
}

token_count memory_ledger::capacity() const
{
    return m_capacity;
}

token_count memory_ledger::free() const
{
    return m_capacity - m_ownTokens - m_heldTokens - m_foreignTokens;
}

token_count memory_ledger::heldForGroups() const
{
    return m_heldTokens;
}

token_count memory_ledger::foreignTokens() const
{
    return m_foreignTokens;
}

int memory_ledger::foreignRequests() const
{
    return m_foreignRequests;
}

const std::vector<attempt_id> &memory_ledger::orphans() const
{
    return m_orphans;
}

bool memory_ledger::endedBefore(const attempt_id &attempt, time_point takenAt) const
{
    return m_ended.at(attempt) + orphanGrace < takenAt;
}

void memory_ledger::forgetEnded(time_point now)
{
    std::erase_if(m_ended, [&](const auto &entry) {
        return entry.second + endedRetention < now;
    });
}

} // namespace mustardtrail::placement
