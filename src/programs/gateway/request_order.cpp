#include "base/hash.h"
#include "gateway/engine_timing.h"
#include "gateway/urgency.h"
#include "programs/gateway/request_session.h"

#include <algorithm>

namespace mustardtrail::gateway
{

using std::chrono::microseconds;

int request_session::urgency() const
{
    return urgencyOf(subject());
}

std::optional<int> request_session::engineUrgency() const
{
    if (m_firstEventAt) {
        return 0;
    }
    return m_policy.distinguishesUrgency ? std::optional<int>(engineUrgencyOf(urgency())) : std::nullopt;
}

queue_priority request_session::queuePriority() const
{
    queue_priority priority;
    priority.isInterrupted = m_firstEventAt.has_value();
    priority.latencyTarget = m_route->latencyTarget;
    priority.arrivedAt = m_arrivedAt;
    if (!m_policy.isCoordinated) {
        return priority;
    }
    priority.urgency = urgency();
    priority.service = hash64(m_service.str());
    priority.customer = keyOf(m_customer);
    const service_profile *profile = m_routes->profileOf(m_service);
    if (profile && profile->engine && m_head.promptTokens) {
        priority.prefillTime = prefillTime(*profile->engine, *m_head.promptTokens);
    }
    return priority;
}

// A request that arrives would otherwise take the capacity that has just become free for one before it in the order.
bool request_session::mustQueue() const
{
    return m_policy.isCoordinated && m_context.queue.size() > 0;
}

void request_session::recordCustomerUse(const placement_decision &placed, time_point now)
{
    microseconds prefill{ 0 };
    for (const placed_part &part : placed.parts) {
        prefill += part.prefillTime;
    }
    if (m_customer.empty() || prefill.count() == 0) {
        return;
    }
    m_context.metrics.recordCustomerPrefill(m_customer.str(), prefill);
    if (m_policy.isCoordinated) {
        m_context.state.customerUse.record(keyOf(m_customer), prefill, now);
    }
}

} // namespace mustardtrail::gateway
