#include "gateway/unanswered_orders.h"

namespace mustardtrail::gateway
{

void unanswered_orders::recordUnanswered(server_key server, time_point now)
{
    std::erase_if(m_unansweredAt, [now](const auto &each) {
        return now - each.second >= maxAge;
    });
    m_unansweredAt[server] = now;
}

void unanswered_orders::recordAnswered(server_key server)
{
    m_unansweredAt.erase(server);
}

bool unanswered_orders::isSilent(server_key server, time_point now) const
{
    const auto found = m_unansweredAt.find(server);
    return found != m_unansweredAt.end() && now - found->second < maxAge;
}

} // namespace mustardtrail::gateway
