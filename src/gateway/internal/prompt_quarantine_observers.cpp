#include "gateway/prompt_quarantine.h"

#include <algorithm>

namespace mustardtrail::gateway
{

void prompt_quarantine::recordLostConnection(server_start_key server, time_point sentAt, time_point now)
{
    if (m_losses.recordOwn(server, sentAt, now)) {
        judge(now);
    }
}

void prompt_quarantine::recordEnded(server_start_key server, time_point now)
{
    const auto found = m_crashes.find(server);
    if (found != m_crashes.end() && addObservers(found->second.evidence, { unnamedObserver })) {
        found->second.changedAt = now;
        judge(now);
    }
}

bool prompt_quarantine::hasLostSeveral(peer_address instance, time_point now) const
{
    return m_losses.isDoubtful(instance, now);
}

bool prompt_quarantine::hasLostSeveral(time_point now) const
{
    return hasLostSeveral(m_self, now);
}

bool prompt_quarantine::isDoubtful(const crash_evidence &crash) const
{
    return std::all_of(crash.observers.begin(), crash.observers.end(), [&](peer_address observer) {
        return m_losses.isDoubtful(observer, crash.at);
    });
}

bool prompt_quarantine::addObservers(crash_evidence &known, const std::set<peer_address> &observers) const
{
    static const std::set<peer_address> unnamed{ unnamedObserver };
    bool isAnyAdded = false;
    for (const peer_address observer : observers.empty() ? unnamed : observers) {
        const bool isUseless = !known.observers.empty() && m_losses.isDoubtful(observer, known.at);
        if (isUseless || known.observers.contains(observer)) {
            continue;
        }
        if (known.observers.size() >= maxObserversPerCrash) {
            const auto doubtful = std::find_if(known.observers.begin(), known.observers.end(), [&](peer_address each) {
                return m_losses.isDoubtful(each, known.at);
            });
            if (doubtful == known.observers.end()) {
                continue;
            }
            known.observers.erase(doubtful);
        }
        known.observers.insert(observer);
        isAnyAdded = true;
    }
    return isAnyAdded;
}

} // namespace mustardtrail::gateway
