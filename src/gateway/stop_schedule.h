#pragma once

#include "base/clock.h"

namespace mustardtrail::gateway
{

/// Plans the steps of a stopping instance, from the stop signal to the end of its process.
class stop_schedule
{
public:
    /// Duration of the final answers of an instance that runs undisturbed.
    static constexpr std::chrono::milliseconds finalAnswerTime{ 400 };

    /// `grace` is the time from the stop signal until the process is killed.
    stop_schedule(time_point now, std::chrono::milliseconds grace);

    /// When the instance may stop accepting requests.
    time_point acceptUntil() const;
    /// Whether a request that was read then is to be served; it may have arrived shortly before.
    bool accepts(time_point arrivedAt) const;
    /// When requests that have not been served get their final answers.
    time_point finalAnswersAt() const;
    /// When the process ends if its event loop is not blocked.
    time_point endsAt() const;
    void beginFinalAnswers(time_point now);
    /// Whether to wait for the final answers once more; the one wait after their time lets due answers be written.
    bool waitsForAnswers(time_point now);
    /// Whether the process may wait on until the memory of requests that were cut has been released.
    bool waitsForReleases(time_point now) const;
    /// Records how late a wait ended. Time in which the event loop was blocked does not count for the final answers.
    void recordDelay(std::chrono::nanoseconds late);

private:
    time_point m_killTime;
    time_point m_finalAnswersAt;
    time_point m_acceptUntil;
    time_point m_end;
    bool m_isLastWait = false;
};

} // namespace mustardtrail::gateway
