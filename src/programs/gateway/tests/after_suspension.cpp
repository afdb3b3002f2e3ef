// The tests that are linked with this file run as on a machine that was suspended for an hour: CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC,
// which the timers of the event loop use by default.

#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

namespace
{

constexpr time_t suspendedSeconds = 3'600;

} // namespace

// Replaces the function of the C library in this program.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    if (result == 0 && clock == CLOCK_BOOTTIME) {
        time->tv_sec += suspendedSeconds;
    }
    return result;
}
