#include "gateway/recent_answers.h"

#include <utility>

namespace mustardtrail::gateway
{

void recent_answers::record(prompt_part part, time_point now)
{
    if (now >= m_periodEndsAt) {
        const bool isNextPeriod = now < m_periodEndsAt + period;
        m_earlier = isNextPeriod ? std::exchange(m_current, {}) : answer_map();
        m_current.clear();
        m_periodEndsAt = now + period;
    }
    if (m_current.size() < maxPartsPerPeriod) {
        m_current[part] = now;
    } else if (const auto known = m_current.find(part); known != m_current.end()) {
        known->second = now;
    }
}

std::optional<time_point> recent_answers::find(prompt_part part) const
{
    for (const answer_map *answers : { &m_current, &m_earlier }) {
        if (const auto found = answers->find(part); found != answers->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace mustardtrail::gateway
