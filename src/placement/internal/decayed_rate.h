#pragma once

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mustardtrail::placement
{

/// Exponentially decaying average of an amount per second.
class decayed_rate
{
public:
    explicit decayed_rate(std::chrono::duration<double> timeConstant)
        : m_timeConstant(timeConstant)
    {
    }

    void add(double amount, time_point now)
    {
        m_rate = at(now) + amount / m_timeConstant.count();
        m_at = now;
    }

    double at(time_point now) const
    {
        const std::chrono::duration<double> elapsed = std::max(time_point::duration(0), now - m_at);
        return m_rate * std::exp(-elapsed / m_timeConstant);
    }

private:
    std::chrono::duration<double> m_timeConstant;
    double m_rate = 0;
    time_point m_at{};
};

} // namespace mustardtrail::placement
