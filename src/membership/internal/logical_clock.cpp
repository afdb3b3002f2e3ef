#include "membership/internal/logical_clock.h"

#include <algorithm>

namespace mustardtrail::membership
{

void logical_clock::wallClock(std::chrono::system_clock::time_point reading)
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(reading.time_since_epoch()).count();
    m_wall = static_cast<std::uint64_t>(std::max<std::int64_t>(since, 0));
    m_value = std::max(m_value, *m_wall);
}

// Without a wall clock of its own a node cannot tell a sound count from a broken one and takes none.
void logical_clock::heard(std::uint64_t other)
{
    constexpr auto ahead = static_cast<std::uint64_t>(std::chrono::milliseconds(maxAhead).count());
    if (m_wall && other <= *m_wall + ahead) {
        m_value = std::max(m_value, other);
    }
}

std::uint64_t logical_clock::next()
{
    return ++m_value;
}

std::uint64_t logical_clock::current() const
{
    return m_value;
}

} // namespace mustardtrail::membership
