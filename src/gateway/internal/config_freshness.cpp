#include "gateway/config_freshness.h"

#include <algorithm>

namespace mustardtrail::gateway
{

config_freshness::config_freshness(std::chrono::milliseconds limit)
    : m_limit(limit)
{
}

void config_freshness::confirm(time_point askedAt)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(askedAt), askedAt);
}

std::optional<time_point> config_freshness::confirmedAt() const
{
    return m_confirmedAt;
}

bool config_freshness::isFresh(time_point now) const
{
    return m_confirmedAt && now - *m_confirmedAt < m_limit;
}

} // namespace mustardtrail::gateway
