#include "gateway/relay_history.h"

#include <algorithm>

namespace mustardtrail::gateway
{

void relay_history::add(const store_relay &relay, time_point now)
{
    const bool isOtherEra = !m_entries.empty() && m_entries.front().relay.era != relay.era;
    if (!relay.changes || isOtherEra) {
        m_entries.clear();
        m_bytes = 0;
    }
    if (!relay.changes) {
        return;
    }
    if (relay.toRevision > relay.fromRevision) {
        m_entries.push_back({ relay, now });
        m_entries.back().relay.echoes.clear();
        m_bytes += relay.changes->size();
    }
    while (!m_entries.empty() && (now - m_entries.front().addedAt > retention || m_bytes > maxBytes)) {
        m_bytes -= m_entries.front().relay.changes->size();
        m_entries.pop_front();
    }
}

std::vector<store_relay> relay_history::missedRelaysFor(peer_address peer, std::uint64_t revision, time_point now)
{
    std::vector<store_relay> missing;
    const bool isCovered = !m_entries.empty() && m_entries.front().relay.fromRevision <= revision;
    const auto last = m_lastResentAt.find(peer);
    const bool wasResent = last != m_lastResentAt.end() && now - last->second < resendInterval;
    if (!isCovered || wasResent) {
        return missing;
    }
    for (const entry &each : m_entries) {
        if (each.relay.toRevision > revision) {
            missing.push_back(each.relay);
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - each.addedAt);
            missing.back().graceLeft = std::max(each.relay.graceLeft - age, std::chrono::milliseconds(0));
        }
    }
    if (!missing.empty()) {
        m_lastResentAt[peer] = now;
    }
    return missing;
}

} // namespace mustardtrail::gateway
