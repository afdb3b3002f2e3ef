#include "request/request_core.h"

#include "request/internal/running_request.h"
#include "request/key_homes.h"

#include <algorithm>

namespace mustardtrail::request
{

using std::chrono::milliseconds;

void request_core::startClaims(running_request &request, time_point now, actions &out)
{
    request.state = request_state::claiming;
    request.homes = keyHomes(*m_view, request.spec.customer, request.spec.idempotencyKey);
    if (request.homes.empty()) {
        return fail(request, { error_code::peer_connect_failed, verdict::not_run, "reason=no_key_home", {} }, out);
    }
    sendClaim(request, now, out);
}

void request_core::sendClaim(running_request &request, time_point now, actions &out)
{
    // Homes are claimed one after another: two requests that claimed all homes of one key in parallel could block each other.
    request.claimDeadline = now + m_options.claimTimeout;
    schedule(request);
    key_claim claim;
    claim.request = request.spec.id;
    claim.origin = m_self;
    claim.customer = request.spec.customer;
    claim.key = request.spec.idempotencyKey;
    claim.fingerprint = request.spec.fingerprint;
    claim.remaining = std::chrono::ceil<milliseconds>(request.deadline - now);
    out.push_back(send_key_claim{ request.homes[request.homesGranted], std::move(claim) });
}

running_request *request_core::findClaiming(const request_id &id, const instance_id &home)
{
    const auto found = m_requests.find(id);
    const bool expected = found != m_requests.end() && found->second->state == request_state::claiming
        && found->second->homes[found->second->homesGranted] == home;
    if (!expected) {
        ++m_counters.eventsIgnored;
        return nullptr;
    }
    return found->second.get();
}

void request_core::on(const key_claim_reply &event, time_point now, actions &out)
{
    running_request *request = findClaiming(event.request, event.home);
    if (request == nullptr) {
        return;
    }
    switch (event.status) {
    case key_claim_status::granted:
        return onClaimGranted(*request, event, now, out);
    case key_claim_status::duplicate:
        return fail(*request, { error_code::duplicate_attempt, std::max(event.outcome, verdict::may_have_run), "", {} }, out);
    case key_claim_status::fingerprint_differs:
        return fail(*request, { error_code::idempotency_key_reused, verdict::not_run, "", {} }, out);
    case key_claim_status::refused:
        return fail(*request, { event.code, verdict::not_run, "reason=key_home_refused", event.retryAfter }, out);
    }
}

void request_core::onClaimGranted(running_request &request, const key_claim_reply &reply, time_point now, actions &out)
{
    ++request.homesGranted;
    request.fullHistoryHomeGranted = request.fullHistoryHomeGranted || !reply.incompleteHistory;
    if (request.homesGranted < request.homes.size()) {
        return sendClaim(request, now, out);
    }
    if (request.spec.callerRetry && !request.fullHistoryHomeGranted) {
        // No home was home of the key for the whole window: the caller's first request may have run unrecorded.
        return fail(request, { error_code::duplicate_attempt, verdict::may_have_run, "reason=young_key_home", {} }, out);
    }
    startAttempt(request, now, out);
}

void request_core::on(const key_claim_failed &event, time_point, actions &out)
{
    running_request *request = findClaiming(event.request, event.home);
    if (request == nullptr) {
        return;
    }
    // The request runs only after all claims are granted, so it has not run whether or not this claim arrived.
    fail(*request, { event.failure.code, verdict::not_run, "reason=key_home_unreachable", event.failure.retryAfter }, out);
}

void request_core::reportOutcome(const running_request &request, verdict outcome, actions &out) const
{
    // The home that was claimed last may hold the key although its reply has not arrived.
    const std::size_t claimed = request.state == request_state::claiming ? request.homesGranted + 1 : request.homesGranted;
    for (std::size_t index = 0; index < std::min(claimed, request.homes.size()); ++index) {
        const key_outcome message{ request.spec.id, request.spec.customer, request.spec.idempotencyKey, outcome };
        out.push_back(send_key_outcome{ request.homes[index], message });
    }
}

} // namespace mustardtrail::request
