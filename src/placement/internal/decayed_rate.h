#pragma once

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mustardtrail::placement
{

/// Amount a second, with exponentially decaying memory.
class decayed_rate
{
public:
    explicit decayed_rate(std::chrono::duration<double> memory)
        : m_memory(memory)
    {
    }

    void add(double amount, time_point now)
    {
        m_rate = at(now) + amount / m_memory.count();
        m_at = now;
    }

    double at(time_point now) const
    {
        const std::chrono::duration<double> elapsed = std::max(time_point::duration(0), now - m_at);
        return m_rate * std::exp(-elapsed / m_memory);
    }

private:
    std::chrono::duration<double> m_memory;
    double m_rate = 0;
    time_point m_at{};
};

} // namespace mustardtrail::placement
