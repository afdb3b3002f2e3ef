#include "gateway/stop_schedule.h"

#include <algorithm>

namespace mustardtrail::gateway
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds balancerRemovalDelay{ 2'500 }; ///< The load balancer probes each second and removes an instance after two failures.
constexpr milliseconds stopMargin{ 600 }; ///< Subtracted from the stop grace period, so that the process exits before it is killed.
constexpr milliseconds minStopMargin{ 150 }; ///< Least time between late final answers and the kill.

constexpr milliseconds maxReadDelay{ 50 }; ///< Of a request that has arrived at a process that runs undisturbed.

} // namespace

stop_schedule::stop_schedule(time_point now, milliseconds grace)
    : m_killTime(now + grace)
    , m_finalAnswersAt(m_killTime - stopMargin - finalAnswerTime)
    , m_acceptUntil(std::min(now + balancerRemovalDelay, m_finalAnswersAt))
    , m_end(endsAt())
{
}

time_point stop_schedule::acceptUntil() const
{
    return m_acceptUntil;
}

bool stop_schedule::accepts(time_point arrivedAt) const
{
    return arrivedAt <= m_acceptUntil + maxReadDelay;
}

time_point stop_schedule::finalAnswersAt() const
{
    return m_finalAnswersAt;
}

time_point stop_schedule::endsAt() const
{
    return m_killTime - stopMargin;
}

void stop_schedule::beginFinalAnswers(time_point now)
{
    m_end = std::max(now, m_finalAnswersAt) + finalAnswerTime;
}

bool stop_schedule::waitsForAnswers(time_point now)
{
    if (m_isLastWait) {
        return false;
    }
    m_isLastWait = now >= std::min(m_end, m_killTime - minStopMargin);
    return true;
}

bool stop_schedule::waitsForReleases(time_point now) const
{
    return now < m_killTime - minStopMargin;
}

void stop_schedule::recordDelay(std::chrono::nanoseconds late)
{
    m_end += std::chrono::duration_cast<time_point::duration>(late);
}

} // namespace mustardtrail::gateway
