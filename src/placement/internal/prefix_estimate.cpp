#include "placement/prefix_estimate.h"

namespace mustardtrail::placement
{

prefix_estimate::outcome prefix_estimate::apply(const cache_event &event)
{
    outcome seen = outcome::applied;
    if (event.sequence <= 1 && m_next > 2) {
        seen = outcome::restarted;
    } else if (event.sequence < m_next) {
        return outcome::repeated;
    } else if (m_next != 0 && event.sequence > m_next) {
        seen = outcome::gap;
    }
    if (seen != outcome::applied) {
        m_prefixes.clear();
    }
    m_next = event.sequence + 1;
    if (event.kind == cache_event_kind::stored) {
        m_prefixes.insert(event.prefixHash);
    } else {
        m_prefixes.erase(event.prefixHash);
    }
    return seen;
}

void prefix_estimate::clear()
{
    m_prefixes.clear();
    m_next = 0;
}

bool prefix_estimate::holds(std::uint64_t prefixHash) const
{
    return m_prefixes.contains(prefixHash);
}

std::size_t prefix_estimate::size() const
{
    return m_prefixes.size();
}

} // namespace mustardtrail::placement
