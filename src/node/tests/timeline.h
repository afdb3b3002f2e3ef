#pragma once

#include "base/clock.h"

#include <functional>
#include <map>

namespace mustardtrail::node::testing
{

/// Fake clock with the steps that are due; steps of one moment run in the order in which they were added.
class timeline
{
public:
    time_point now() const
    {
        return m_now;
    }

    void at(time_point when, std::function<void()> step)
    {
        m_steps.emplace(std::max(when, m_now), std::move(step));
    }

    void after(std::chrono::milliseconds delay, std::function<void()> step)
    {
        at(m_now + delay, std::move(step));
    }

    void runUntil(time_point end)
    {
        while (!m_steps.empty() && m_steps.begin()->first <= end) {
            m_now = m_steps.begin()->first;
            const auto step = std::move(m_steps.begin()->second);
            m_steps.erase(m_steps.begin());
            step();
        }
        m_now = end;
    }

private:
    time_point m_now{ std::chrono::seconds(10) };
    std::multimap<time_point, std::function<void()>> m_steps;
};

} // namespace mustardtrail::node::testing
