#include "gateway/stream_position.h"

namespace mustardtrail::gateway
{

stream_position::stream_position(std::optional<std::uint64_t> callersLastId)
    : m_lastId(callersLastId)
{
}

void stream_position::beginAnswer()
{
    m_isFirstOfAnswer = true;
}

bool stream_position::mayFollow(const stream_event &event) const
{
    if (!m_hasDelivered || !m_isFirstOfAnswer) {
        return true;
    }
    if (!event.id) {
        return event.isComment;
    }
    // Ids rise; that they rise by one is certain only for a stream that has done so.
    const bool isNextKnown = m_hasSteps && m_areIdsConsecutive;
    return m_lastId && *event.id > *m_lastId && (!isNextKnown || *event.id == *m_lastId + 1);
}

void stream_position::recordDelivered(const stream_event &event)
{
    if (event.isComment) {
        return;
    }
    if (event.id) {
        if (m_hasDelivered && m_lastId) {
            m_areIdsConsecutive = m_areIdsConsecutive && *event.id == *m_lastId + 1;
            m_hasSteps = true;
        }
        m_lastId = event.id;
    } else if (!m_hasDelivered) {
        m_lastId.reset(); // The caller has events behind the one that it named.
    }
    m_hasDelivered = true;
    m_isFirstOfAnswer = false;
}

std::optional<std::uint64_t> stream_position::lastId() const
{
    return m_lastId;
}

bool stream_position::hasDelivered() const
{
    return m_hasDelivered;
}

} // namespace mustardtrail::gateway
