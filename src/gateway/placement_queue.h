#pragma once

#include "base/clock.h"
#include "gateway/customer_prefill.h"
#include "gateway/turn_order.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// Determines the order of a request in the queue.
struct queue_priority {
    bool isInterrupted = false; ///< The caller has part of the answer.
    std::chrono::milliseconds latencyTarget{ 0 }; ///< The request is late when it has waited longer.
    time_point arrivedAt{};
    int urgency = 0; ///< 0 is the most urgent; the same for all requests to a service that does not distinguish urgency.
    std::uint64_t service = 0; ///< Hash of the name of a service with coordinated placement; 0: another one.
    customer_key customer = 0; ///< 0: its share is not limited.
    std::chrono::microseconds prefillTime{ 0 }; ///< That the request needs; counts as work of its turn and as the customer's demand.
};

/// Result of one attempt to place a request. Converts from whether the request was placed; otherwise it keeps waiting.
struct attempt_result {
    // NOLINTNEXTLINE(google-explicit-constructor)
    attempt_result(bool isPlaced)
        : isDone(isPlaced)
        , usesCapacity(isPlaced)
    {
    }
    /// The request no longer waits and was not placed.
    static attempt_result givenUp()
    {
        attempt_result result(true);
        result.usesCapacity = false;
        return result;
    }

    bool isDone;
    bool usesCapacity;
};

/// Requests that wait at one instance for capacity at the backend servers. They are tried together and in order:
/// interrupted streams, then requests that can be on time, then late ones; within these the most urgent first, then those of
/// customers within their share, then the tightest latency target and then the newest. Each urgency with waiting requests gets
/// its turns (`turn_order`). Guards against contention when a batch step ends and frees slots: without it each waiting
/// request of each instance would try for the same slot. Guards against overload too: with the oldest first every
/// request would just miss its target.
class placement_queue
{
public:
    using ticket = std::uint64_t;
    /// Tries to place the request.
    using placement_attempt = std::function<attempt_result(time_point now)>;
    /// Returns the customers that have used more than their share, given the prefill time that waits here.
    using share_rule = std::function<std::set<customer_key>(const prefill_by_customer &waiting, time_point now)>;

    /// Without a rule no customer is over its share.
    void setShareRule(share_rule rule);

    ticket add(const queue_priority &priority, placement_attempt tryPlace);
    void remove(ticket id);
    /// Tries the requests in order and removes those that no longer wait. Once a few of one kind have failed, the rest of that kind
    /// is tried only every `fullRoundInterval`: they would fail too, and on a small instance each try delays its streams.
    void tryAll(time_point now);
    size_t size() const;

    static constexpr unsigned failuresPerRound = 2; ///< Of one kind; their sizes differ, so the first failure alone says little.
    static constexpr std::chrono::milliseconds fullRoundInterval{ 100 }; ///< A fraction of the shortest latency target.

private:
    struct entry {
        queue_priority priority;
        placement_attempt tryPlace;
    };

    using request_filter = std::function<bool(const queue_priority &)>;
    struct waiting_request {
        ticket id = 0;
        queue_priority priority;
        bool mayClaimTurn = false; ///< Its urgency's, when that is overdue.
    };

    std::set<customer_key> customersOverShare(time_point now) const;
    std::vector<waiting_request> inOrder(const std::set<customer_key> &overShare, time_point now) const;
    void advanceOverdue(std::vector<waiting_request> &order, size_t next, const request_filter &isSkipped) const;
    void recordTurn(const queue_priority &placed, const std::set<customer_key> &overShare);

    std::map<ticket, entry> m_entries;
    share_rule m_shareRule;
    std::map<std::uint64_t, turn_order> m_turns; ///< By service: capacity of one is of no use to another.
    ticket m_last = 0;
    time_point m_nextFullRoundAt{};
};

} // namespace mustardtrail::gateway
