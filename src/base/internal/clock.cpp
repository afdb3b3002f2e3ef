#include "base/clock.h"

#include <ctime>

namespace mustardtrail
{

// CLOCK_BOOTTIME keeps counting while the machine is suspended, so that the time spent suspended is visible.
time_point system_monotonic_clock::now() const
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

time_point manual_clock::now() const
{
    return m_now;
}

void manual_clock::advance(std::chrono::nanoseconds step)
{
    m_now += step;
}

} // namespace mustardtrail
