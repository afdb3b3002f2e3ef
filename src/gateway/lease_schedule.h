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

/// What to send to the engine at a renewal.
enum class renewal_order {
    renew,
    ask_first, ///< For the use of the memory; the answer decides.
    ask_whether_used, ///< The run that used the memory seems to have ended: renew only if it is used again.
    renew_first, ///< The lease may end before an answer: ask after the renewal, and release the memory if it is not used.
};

/// Times and orders of the renewals of one lease.
class lease_schedule
{
public:
    /// `sentAt`: when the order for the lease was sent.
    lease_schedule(const reservation_limits &limits, time_point sentAt);

    void record(renewal_outcome outcome, time_point sentAt);
    /// Records what the engine reports of the memory before the first event of the answer.
    void recordUse(memory_use use);
    time_point nextAt() const;
    /// The order to send now.
    renewal_order orderAt(const reservation_age &age, time_point now) const;

private:
    reservation_limits m_limits;
    time_point m_leaseEndsAt; ///< Or later: the lease runs from the arrival of the order.
    time_point m_nextAt;
    bool m_isRefused = false; ///< At the last renewal.
    bool m_wasUsed = false;
    bool m_isUseOver = false;
};

} // namespace mustardtrail::gateway
