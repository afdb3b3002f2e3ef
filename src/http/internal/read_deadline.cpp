#include "http/internal/read_deadline.h"

#include <algorithm>

namespace mustardtrail::http
{

namespace
{

constexpr std::chrono::seconds maxAddedTime{ 10 }; ///< To the limits of one request, in a process that is late again and again.
constexpr std::chrono::milliseconds lateTimerThreshold{ 50 }; ///< Above the delay of a timer in a process that runs undisturbed.

} // namespace

read_deadline::read_deadline(boost::beast::tcp_stream &stream)
    : m_stream(stream)
    , m_timer(stream.get_executor())
{
    m_stream.expires_never();
}

void read_deadline::expireAt(std::chrono::steady_clock::time_point when)
{
    m_timer.expires_at(std::max(when, std::chrono::steady_clock::now()));
    m_timer.async_wait([this, passed = m_passed, expiry = m_timer.expiry()](boost::system::error_code failure) {
        // A wait that has ended cannot be cancelled any more when the timer is set anew.
        if (!failure && passed.use_count() > 1 && expiry == m_timer.expiry()) {
            onTimer();
        }
    });
}

bool read_deadline::hasPassed() const
{
    return *m_passed;
}

std::chrono::nanoseconds read_deadline::addedTime() const
{
    return m_addedTime;
}

// While the event loop did not run, nothing was read: what the peer sent in that time has still to be seen.
void read_deadline::onTimer()
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::nanoseconds late = now - m_timer.expiry();
    if (late > lateTimerThreshold && m_addedTime < maxAddedTime) {
        m_addedTime += late;
        expireAt(now + late);
        return;
    }
    *m_passed = true;
    m_stream.cancel();
}

} // namespace mustardtrail::http
