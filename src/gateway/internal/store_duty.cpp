#include "gateway/store_duty.h"

#include <algorithm>

namespace mustardtrail::gateway
{

store_duty::store_duty(peer_address self, std::chrono::milliseconds silence)
    : m_self(self)
    , m_silence(silence)
{
}

void store_duty::heardRelay(peer_address by, time_point now)
{
    m_heardAt[by] = now;
}

void store_duty::asked(bool wasAnswered)
{
    m_wasAnswered = wasAnswered;
    if (wasAnswered) {
        m_behindUntil.reset();
    }
}

void store_duty::missedChanges(bool mayBeRepaired, time_point now)
{
    const time_point until = mayBeRepaired ? now + repairTime : now;
    m_behindUntil = std::min(m_behindUntil.value_or(until), until);
}

void store_duty::caughtUp()
{
    m_behindUntil.reset();
}

bool store_duty::isBehind() const
{
    return m_behindUntil.has_value();
}

time_point store_duty::askAt(time_point now) const
{
    if (m_behindUntil) {
        return std::max(now, *m_behindUntil);
    }
    time_point next = now;
    for (const auto &[address, heardAt] : m_heardAt) {
        // One that the store does not answer follows any other, so that its low address does not keep it from hearing.
        if (address < m_self || !m_wasAnswered) {
            next = std::max(next, heardAt + m_silence);
        }
    }
    return next;
}

} // namespace mustardtrail::gateway
