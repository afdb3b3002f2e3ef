#include "gateway/resend_budget.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr double refusedShare = 0.5; // The rest is kept for streams that break in a burst, as at a cut.
constexpr std::chrono::milliseconds discovery{ 2'000 }; // A few reports of the other instances.
constexpr double safety = 0.8; // Counting windows of the instances are not aligned with each other.
constexpr double restartShare = 1.0 / safety - 1.0; // What the others leave if all had spent theirs before a restart.

} // namespace

resend_budget::resend_budget(resend_limits limits, time_point slackFrom)
    : m_limits(limits)
    , m_slackFrom(slackFrom)
{
}

void resend_budget::forget(service_window &window, time_point now) const
{
    for (auto *times : { &window.requests, &window.resends }) {
        while (!times->empty() && now - times->front() > m_limits.window) {
            times->pop_front();
        }
    }
}

void resend_budget::countRequest(const service_id &service, time_point now)
{
    service_window &window = m_services[service];
    forget(window, now);
    window.requests.push_back(now);
}

double resend_budget::slackShare(time_point now, size_t instances) const
{
    const double share = m_limits.slack / static_cast<double>(std::max<size_t>(instances, 1));
    if (now >= m_slackFrom) {
        return share;
    }
    const bool knowsOthers = now >= m_slackFrom - m_limits.window + discovery;
    return knowsOthers ? share * restartShare : 0.0;
}

bool resend_budget::hasRoom(const service_id &service, cause why, time_point now, size_t instances)
{
    service_window &window = m_services[service];
    forget(window, now);
    const double part = why == cause::refused ? refusedShare : 1.0;
    const double allowed = part * safety * (m_limits.ratio * static_cast<double>(window.requests.size()) + slackShare(now, instances));
    return static_cast<double>(window.resends.size()) + 1.0 <= allowed;
}

bool resend_budget::tryTake(const service_id &service, cause why, time_point now, size_t instances)
{
    if (!hasRoom(service, why, now, instances)) {
        return false;
    }
    m_services[service].resends.push_back(now);
    return true;
}

} // namespace mustardtrail::gateway
