#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <map>

namespace mustardtrail::gateway
{

/// Place of a request among those that wait at one instance.
struct queue_priority {
    bool isInterrupted = false; ///< Its caller has a part of the answer.
    std::chrono::milliseconds latencyTarget{ 0 }; ///< It is on time up to this after its arrival.
    time_point arrivedAt{};
};

/// Requests that wait at one instance for room at the backend servers, looked at together and in order: interrupted
/// streams, then what can be on time, the quickest class first and in it the newest, then what is late, the newest first.
/// Answers the moment at which a pass of an engine ends and frees slots: without it each waiting request of each instance
/// reaches for the same slot. Answers overload too: with the oldest first every request would just miss its target.
class placement_queue
{
public:
    using ticket = std::uint64_t;
    /// Looks for room; true when the request waits no longer.
    using placement_attempt = std::function<bool(time_point now)>;

    ticket add(const queue_priority &rank, placement_attempt tryPlace);
    void remove(ticket id);
    /// Looks for every request in order; those that wait no longer leave the line.
    void tryAll(time_point now);
    size_t size() const;

private:
    struct entry {
        queue_priority rank;
        placement_attempt tryPlace;
    };

    std::map<ticket, entry> m_entries;
    ticket m_last = 0;
};

} // namespace mustardtrail::gateway
