#include "gateway/sent_attempt.h"

namespace mustardtrail::gateway
{

sent_attempt::sent_attempt(attempt_id id)
    : m_id(std::move(id))
{
}

const attempt_id &sent_attempt::id() const
{
    return m_id;
}

bool sent_attempt::recordSend(const endpoint &server)
{
    const bool isFirst = m_servers.insert(server).second;
    return !isFirst || m_id.empty() || m_hasLostSend;
}

void sent_attempt::recordLoss()
{
    m_hasLostSend = true;
}

} // namespace mustardtrail::gateway
