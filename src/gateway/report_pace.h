#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

namespace mustardtrail::gateway
{

/// Keeps the reports of one instance within a share of its own link. Answers a burst of requests at one instance: each change is
/// reported with all work to all members of the cell, so that the bytes grow with the square of the requests, and a full link delays new
/// connections to servers.
class report_pace
{
public:
    /// `linkBitsPerSecond`: of this instance, from its settings; 0: unknown, the reports are not limited.
    explicit report_pace(std::int64_t linkBitsPerSecond);

    /// Records reports that were handed to the network; their datagrams' headers included.
    void recordSent(size_t bytes, time_point now);
    /// Returns the earliest time for the next reports; changes until then are combined. It may have passed.
    time_point nextAt() const;

    static constexpr double linkShare = 0.5; ///< The rest is for requests and answers.
    static constexpr size_t datagramHeader = 46; ///< Bytes of Ethernet, IP and UDP.

private:
    double m_bytesPerSecond; ///< 0: not limited.
    time_point m_nextAt{};
};

} // namespace mustardtrail::gateway
