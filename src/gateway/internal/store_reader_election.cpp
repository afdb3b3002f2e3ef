#include "gateway/store_reader_election.h"

#include <algorithm>

namespace mustardtrail::gateway
{

store_reader_election::store_reader_election(peer_address self, std::chrono::milliseconds relayTimeout)
    : m_self(self)
    , m_relayTimeout(relayTimeout)
{
}

void store_reader_election::recordRelay(peer_address by, time_point now)
{
    m_lastRelayAt[by] = now;
}

void store_reader_election::recordReadResult(bool succeeded)
{
    m_succeeded = succeeded;
    if (succeeded) {
        m_resendDeadline.reset();
    }
}

void store_reader_election::recordMissedChanges(bool willBeResent, time_point now)
{
    const time_point until = willBeResent ? now + resendTimeout : now;
    m_resendDeadline = std::min(m_resendDeadline.value_or(until), until);
}

void store_reader_election::recordCaughtUp()
{
    m_resendDeadline.reset();
}

bool store_reader_election::isBehind() const
{
    return m_resendDeadline.has_value();
}

time_point store_reader_election::nextReadAt(time_point now) const
{
    if (m_resendDeadline) {
        return std::max(now, *m_resendDeadline);
    }
    time_point next = now;
    for (const auto &[address, lastRelayAt] : m_lastRelayAt) {
        // Without a response from the store, this instance defers to any reader, also to one with a higher address: it relies on
        // the relays of that reader.
        if (address < m_self || !m_succeeded) {
            next = std::max(next, lastRelayAt + m_relayTimeout);
        }
    }
    return next;
}

} // namespace mustardtrail::gateway
