#include "tests/session_checker.h"

#include "tests/fleet_checks.h"

#include <algorithm>

namespace mustardtrail::membership
{

namespace
{

constexpr std::chrono::seconds drainBound{ 3 };

}

session_checker::session_checker(fake_fleet &fleet)
    : m_fleet(fleet)
{
}

void session_checker::note(const std::string &what, int node)
{
    m_problems.push_back(joined({ what, " node=", instanceName(node) }));
}

void session_checker::sample()
{
    for (int node = 0; node < m_fleet.size(); ++node) {
        if (!m_fleet.isUp(node) || m_fleet.view(node) == nullptr) {
            continue;
        }
        checkRevision(node);
        checkRefresh(node);
        checkDrains(node);
        checkFleetKept(node);
        checkFencing(node);
    }
}

void session_checker::checkRevision(int node)
{
    const std::int64_t revision = m_fleet.view(node)->config->revision;
    if (revision < m_revisions[node]) {
        note("revision_down", node);
    }
    m_revisions[node] = revision;
}

// What every other running node held when this one woke was in force: a confirmed view must hold it as well. A view
// confirmed before a pause that is shorter than the lease may be used until the lease ends.
void session_checker::woke(int node, std::chrono::milliseconds slept)
{
    excuse(node);
    if (slept < viewLease) {
        return;
    }
    std::int64_t lowest = m_fleet.platform.revision();
    for (int other = 0; other < m_fleet.size(); ++other) {
        if (other != node && m_fleet.isUp(other) && m_fleet.view(other) != nullptr) {
            lowest = std::min(lowest, m_fleet.view(other)->config->revision);
        }
    }
    m_owedRevision[node] = lowest;
}

void session_checker::checkRefresh(int node)
{
    const auto owed = m_owedRevision.find(node);
    if (owed == m_owedRevision.end()) {
        return;
    }
    const bool confirmed = m_fleet.isConfirmed(node) && !m_fleet.view(node)->isolated;
    if (confirmed && m_fleet.view(node)->config->revision < owed->second) {
        note("confirmed_before_refresh", node);
        m_owedRevision.erase(owed);
    }
}

void session_checker::restarted(int node)
{
    m_revisions.erase(node);
    m_owedRevision.erase(node);
    excuse(node);
}

void session_checker::excuse(int node)
{
    m_excusedAt[node] = m_fleet.now();
}

void session_checker::drained(const std::string &server)
{
    m_drainedAt[server] = m_fleet.now();
}

void session_checker::restored(const std::string &server)
{
    m_drainedAt.erase(server);
}

void session_checker::checkDrains(int node)
{
    const auto excused = m_excusedAt.find(node);
    for (const auto &[server, at] : m_drainedAt) {
        const time_point from = excused == m_excusedAt.end() ? at : std::max(at, excused->second);
        if (m_fleet.now() - from > drainBound && acceptsWork(m_fleet, node, server)) {
            note("work_to_drained", node);
        }
    }
}

void session_checker::checkFleetKept(int node)
{
    if (m_fleet.view(node)->peers.empty() && m_fleet.size() > 1) {
        note("fleet_emptied", node);
    }
    const auto &backends = m_fleet.view(node)->backends;
    const bool allStopped = std::none_of(backends.begin(), backends.end(), [](const auto &entry) {
        return entry.second.acceptsNewWork;
    });
    if (allStopped) {
        note("all_servers_stopped", node);
    }
}

void session_checker::checkFencing(int node)
{
    for (const auto &[id, assignment] : m_fleet.view(node)->backends) {
        if (assignment.fencingNumber == 0) {
            continue;
        }
        const auto [entry, isNew] = m_fencing.emplace(std::pair(id.str(), assignment.fencingNumber), node);
        if (!isNew && entry->second != node) {
            note("fencing_number_shared", node);
        }
    }
}

void session_checker::converged()
{
    for (int node = 0; node < m_fleet.size(); ++node) {
        if (m_fleet.view(node) == nullptr || !m_fleet.isConfirmed(node) || m_fleet.view(node)->isolated) {
            note("not_confirmed_at_end", node);
            continue;
        }
        if (m_fleet.view(node)->config->revision != m_fleet.platform.revision()) {
            note("old_revision_at_end", node);
        }
        for (int other = 0; other < m_fleet.size(); ++other) {
            if (other != node && m_fleet.stateAt(node, other) != peer_state::alive) {
                note("peer_lost_at_end", node);
            }
        }
    }
}

const std::vector<std::string> &session_checker::problems() const
{
    return m_problems;
}

} // namespace mustardtrail::membership
