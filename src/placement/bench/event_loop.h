#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace mustardtrail::placement::bench
{

/// Runs callbacks in order of simulated time, which advances from event to event.
class event_loop
{
public:
    time_point now() const
    {
        return m_now;
    }
    void at(time_point when, std::function<void()> call)
    {
        m_events.push({ when, m_sequence++, std::move(call) });
    }
    void after(std::chrono::nanoseconds delay, std::function<void()> call)
    {
        at(m_now + delay, std::move(call));
    }
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.call();
        }
        m_now = end;
    }

private:
    struct event {
        time_point when{};
        std::uint64_t sequence = 0;
        std::function<void()> call;
        bool operator<(const event &other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    time_point m_now{ std::chrono::hours(1) };
    std::uint64_t m_sequence = 0;
    std::priority_queue<event> m_events;
};

} // namespace mustardtrail::placement::bench
