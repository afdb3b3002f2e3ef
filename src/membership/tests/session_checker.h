#pragma once

#include "tests/fake_fleet.h"

#include <map>
#include <string>
#include <vector>

namespace mustardtrail::membership
{

/// Watches a fleet from outside and notes every broken promise. Uses nothing of the nodes but their views.
class session_checker
{
public:
    explicit session_checker(fake_fleet &fleet);

    /// To be called often; compares the views at this moment.
    void sample();
    void woke(int node, std::chrono::milliseconds slept);
    void restarted(int node);
    /// From three seconds on, no node that is not excused may give new work to the server.
    void drained(const std::string &server);
    void restored(const std::string &server);
    /// Nodes that are cut off or asleep owe nothing until three seconds after they are back.
    void excuse(int node);
    /// After healing: everyone agrees and is confirmed.
    void converged();

    const std::vector<std::string> &problems() const;

private:
    void note(const std::string &what, int node);
    void checkRevision(int node);
    void checkRefresh(int node);
    void checkDrains(int node);
    void checkFleetKept(int node);
    void checkFencing(int node);

    fake_fleet &m_fleet;
    std::vector<std::string> m_problems;
    std::map<int, std::int64_t> m_revisions;
    std::map<int, std::int64_t> m_owedRevision; ///< What a node that woke must hold before it is confirmed.
    std::map<int, time_point> m_excusedAt;
    std::map<std::string, time_point> m_drainedAt;
    std::map<std::pair<std::string, std::uint64_t>, int> m_fencing;
};

} // namespace mustardtrail::membership
