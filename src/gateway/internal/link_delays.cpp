#include "gateway/link_delays.h"

namespace mustardtrail::gateway
{

bool link_delays::add(const data_centre_id &one, const data_centre_id &other, std::chrono::microseconds oneWay)
{
    const auto [known, isNew] = m_oneWay[one].try_emplace(other, oneWay);
    m_oneWay[other].try_emplace(one, oneWay);
    return isNew || known->second == oneWay;
}

bool link_delays::hasLinkOf(const data_centre_id &dataCentre) const
{
    return m_oneWay.contains(dataCentre);
}

std::chrono::microseconds link_delays::between(const data_centre_id &one, const data_centre_id &other) const
{
    const auto links = m_oneWay.find(one);
    if (links == m_oneWay.end()) {
        return std::chrono::microseconds(0);
    }
    const auto found = links->second.find(other);
    return found == links->second.end() ? std::chrono::microseconds(0) : found->second;
}

} // namespace mustardtrail::gateway
