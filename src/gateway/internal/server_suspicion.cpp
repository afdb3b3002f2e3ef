#include "gateway/server_suspicion.h"

#include <algorithm>

namespace mustardtrail::gateway
{

void server_suspicion::recordFailure(server_key server, time_point now)
{
    failure_record &entry = m_failures[server];
    if (now < entry.suspectedUntil) {
        return;
    }
    entry.backoff = std::clamp(entry.backoff * 2, initialBackoff, maxBackoff);
    entry.suspectedUntil = now + entry.backoff;
}

void server_suspicion::recordSuccess(server_key server)
{
    m_failures.erase(server);
}

void server_suspicion::forgetOwnFailures()
{
    m_failures.clear();
}

void server_suspicion::updatePeerSuspects(const instance_id &peer, const std::vector<server_key> &suspects, time_point now)
{
    m_peerReports[peer] = { suspects, now };
}

std::vector<server_key> server_suspicion::ownSuspects(time_point now) const
{
    std::vector<server_key> found;
    for (const auto &[server, entry] : m_failures) {
        if (now < entry.suspectedUntil) {
            found.push_back(server);
        }
    }
    return found;
}

void server_suspicion::recordBytes(server_key server, time_point now)
{
    m_lastBytesAt[server] = now;
}

bool server_suspicion::isResponding(server_key server, time_point now) const
{
    const auto found = m_lastBytesAt.find(server);
    return found != m_lastBytesAt.end() && now - found->second < responseMaxAge;
}

bool server_suspicion::isSuspected(server_key server, time_point now) const
{
    const auto found = m_failures.find(server);
    if (found != m_failures.end() && now < found->second.suspectedUntil) {
        return true;
    }
    const auto count = std::count_if(m_peerReports.begin(), m_peerReports.end(), [&](const auto &entry) {
        const peer_report &report = entry.second;
        return now - report.receivedAt < peerReportMaxAge
            && std::find(report.suspects.begin(), report.suspects.end(), server) != report.suspects.end();
    });
    return static_cast<size_t>(count) >= peerReportsRequired;
}

} // namespace mustardtrail::gateway
