#pragma once

#include "base/ids.h"

#include <chrono>
#include <map>

namespace mustardtrail::gateway
{

/// One-way delays of the links between data centres, the same in both directions.
class link_delays
{
public:
    /// Returns false, and keeps the first value, if the pair has another delay already. The two data centres differ.
    bool add(const data_centre_id &one, const data_centre_id &other, std::chrono::microseconds oneWay);
    /// Whether the delay of at least one link of the data centre is known.
    bool hasLinkOf(const data_centre_id &dataCentre) const;
    /// Returns 0 within a data centre and for a pair that is not known.
    std::chrono::microseconds between(const data_centre_id &one, const data_centre_id &other) const;

private:
    std::map<data_centre_id, std::map<data_centre_id, std::chrono::microseconds>> m_oneWay; ///< Each pair in both orders.
};

} // namespace mustardtrail::gateway
