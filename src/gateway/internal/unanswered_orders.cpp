#include "gateway/unanswered_orders.h"

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::milliseconds maxLate{ 50 }; // Of the end of an order in a process that runs undisturbed.

} // namespace

void unanswered_orders::record(
    server_key server, std::optional<error_code> failure, time_point sentAt, std::chrono::milliseconds limit, time_point now)
{
    if (!failure) {
        m_unansweredAt.erase(server);
        return;
    }
    if (*failure != error_code::backend_timeout || now - sentAt > limit + maxLate) {
        return;
    }
    std::erase_if(m_unansweredAt, [now](const auto &each) {
        return now - each.second >= maxAge;
    });
    m_unansweredAt[server] = now;
}

bool unanswered_orders::isSilent(server_key server, time_point now) const
{
    const auto found = m_unansweredAt.find(server);
    return found != m_unansweredAt.end() && now - found->second < maxAge;
}

} // namespace mustardtrail::gateway
