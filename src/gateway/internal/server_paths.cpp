#include "gateway/server_paths.h"

#include <algorithm>

namespace mustardtrail::gateway
{

bool server_paths::mayUseOwnPath(const endpoint &server, time_point now)
{
    const auto found = m_lost.find(server);
    if (found != m_lost.end()) {
        found->second.wantedAt = now;
    }
    return found == m_lost.end() && !m_areAllLost;
}

bool server_paths::isLost(const endpoint &server) const
{
    return m_areAllLost || m_lost.contains(server);
}

void server_paths::recordConnected(const endpoint &server)
{
    endSilence(server);
    m_areAllLost = false;
}

// Paths that were lost one by one stay so: another server says nothing of them.
void server_paths::endSilence(const endpoint &server)
{
    std::erase_if(m_lost, [&server](const auto &entry) {
        return entry.first == server || !entry.second.isConfirmed;
    });
}

server_paths::lost_path &server_paths::markLost(const endpoint &server, time_point now)
{
    const auto [found, isNew] = m_lost.try_emplace(server);
    if (isNew) {
        found->second.probeAt = now + firstProbeDelay;
    }
    found->second.wantedAt = now;
    return found->second;
}

void server_paths::recordLost(const endpoint &server, time_point now)
{
    lost_path &path = markLost(server, now);
    if (!path.isConfirmed) {
        path.isConfirmed = true;
        path.lostAt = now;
    }
    const auto lostTogether = std::count_if(m_lost.begin(), m_lost.end(), [now](const auto &entry) {
        return entry.second.isConfirmed && now - entry.second.lostAt <= lossWindow;
    });
    if (!m_areAllLost && static_cast<size_t>(lostTogether) >= minLostPaths) {
        m_areAllLost = true;
        m_probeDelay = firstProbeDelay;
        m_probedAt = now;
    }
}

void server_paths::recordHeard(const endpoint &server, time_point now)
{
    m_heardAt = now;
    m_silentAt.clear();
    endSilence(server);
    m_probeDelay = firstProbeDelay; // Open connections may live on where no new one can be opened, so a probe has to tell.
}

bool server_paths::areSeveralSilent(time_point silentSince, time_point now) const
{
    const bool isAnyHeard = m_heardAt && *m_heardAt > silentSince;
    const auto silent = std::count_if(m_silentAt.begin(), m_silentAt.end(), [now](const auto &entry) {
        return now - entry.second <= lossWindow;
    });
    return !isAnyHeard && static_cast<size_t>(silent) >= minLostPaths;
}

bool server_paths::recordSilent(const endpoint &server, time_point silentSince, time_point now)
{
    m_silentAt[server] = now;
    if (!areSeveralSilent(silentSince, now)) {
        return false;
    }
    markLost(server, now);
    return true;
}

bool server_paths::areAllLost() const
{
    return m_areAllLost;
}

bool server_paths::hasLostPaths() const
{
    const auto lost = std::count_if(m_lost.begin(), m_lost.end(), [](const auto &entry) {
        return entry.second.isConfirmed;
    });
    return m_areAllLost || static_cast<size_t>(lost) >= minLostPaths;
}

// While all paths are lost, one stands for all: a connection costs the server, and one that opens ends the verdict.
std::optional<endpoint> server_paths::takeProbe(time_point now)
{
    if (m_areAllLost) {
        if (now < m_probedAt + m_probeDelay || m_lost.empty()) {
            return std::nullopt;
        }
        const auto next = m_lastProbed ? m_lost.upper_bound(*m_lastProbed) : m_lost.begin();
        m_lastProbed = next == m_lost.end() ? m_lost.begin()->first : next->first;
        m_probeDelay = std::min(2 * m_probeDelay, maxProbeDelay);
        m_probedAt = now;
        return m_lastProbed;
    }
    for (auto &[server, path] : m_lost) {
        if (now >= path.probeAt) {
            path.probeDelay = std::min(2 * path.probeDelay, maxProbeDelay);
            path.probeAt = now + path.probeDelay;
            return server;
        }
    }
    return std::nullopt;
}

void server_paths::expire(time_point now)
{
    std::erase_if(m_lost, [now](const auto &entry) {
        return now - entry.second.wantedAt > unusedMaxAge;
    });
    m_areAllLost = m_areAllLost && !m_lost.empty();
    std::erase_if(m_silentAt, [now](const auto &entry) {
        return now - entry.second > unusedMaxAge;
    });
}

} // namespace mustardtrail::gateway
