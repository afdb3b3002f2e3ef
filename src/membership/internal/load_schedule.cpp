#include "membership/internal/load_schedule.h"

namespace mustardtrail::membership
{

namespace
{

constexpr std::chrono::milliseconds interval{ 1000 };

} // namespace

bool load_schedule::take(const instance_id &receiver, time_point now)
{
    if (now - m_clearedAt >= interval) {
        m_clearedAt = now;
        std::erase_if(m_sent, [now](const auto &entry) {
            return now - entry.second >= interval;
        });
    }
    const auto [entry, isNew] = m_sent.try_emplace(receiver, now);
    if (isNew || now - entry->second < interval) {
        return isNew;
    }
    entry->second = now;
    return true;
}

} // namespace mustardtrail::membership
