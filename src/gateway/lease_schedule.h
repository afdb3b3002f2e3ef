#pragma once

#include "gateway/reservation_rule.h"

namespace mustardtrail::gateway
{

/// What became of an order to renew a lease.
enum class renewal_outcome {
    granted,
    refused, ///< By the engine, or not sent: it reports that the memory is not used.
    unanswered, ///< The engine may be silent for a moment only.
};

/// Times of the renewals of one lease.
class lease_schedule
{
public:
    /// `sentAt`: when the order for the lease was sent.
    lease_schedule(const reservation_limits &limits, time_point sentAt);

    void record(renewal_outcome outcome, time_point sentAt);
    time_point nextAt() const;

private:
    reservation_limits m_limits;
    time_point m_leaseEndsAt; ///< Or later: the lease runs from the arrival of the order.
    time_point m_nextAt;
};

} // namespace mustardtrail::gateway
