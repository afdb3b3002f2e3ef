#include "request/request_core.h"

#include "request/internal/admission.h"
#include "request/internal/failure_kind.h"
#include "request/internal/running_request.h"

#include <algorithm>

namespace mustardtrail::request
{

request_core::request_core(request_core_options options, instance_id self, std::uint64_t seed, choose_owner chooseOwner)
    : m_options(options)
    , m_self(std::move(self))
    , m_random(seed)
    , m_chooseOwner(std::move(chooseOwner))
    , m_budget(options.retries)
{
}

request_core::~request_core() = default;

request_core::actions request_core::handle(const request_event &event, time_point now)
{
    actions out;
    // After a pause of the process, no answer may be delivered past its deadline.
    runDue(now, out);
    std::visit(
        [&](const auto &typed) {
            on(typed, now, out);
        },
        event);
    return out;
}

request_core::actions request_core::onTick(time_point now)
{
    actions out;
    runDue(now, out);
    return out;
}

request_core::actions request_core::onView(std::shared_ptr<const membership::fleet_view> view, time_point now)
{
    actions out;
    runDue(now, out);
    if (view == nullptr || view->config == nullptr) {
        return out;
    }
    if (m_view == nullptr || m_view->config != view->config) {
        m_services = servicesOf(*view->config);
    }
    m_view = std::move(view);
    std::vector<running_request *> stranded;
    for (const auto &[wake, order] : m_wakes) {
        running_request *request = m_byOrder.at(order);
        const auto peer = m_view->peers.find(request->target);
        const bool dead = peer != m_view->peers.end() && peer->second.state == membership::peer_state::dead;
        if (request->state == request_state::running && dead) {
            stranded.push_back(request);
        }
    }
    for (running_request *request : stranded) {
        abandonAttempt(*request, { error_code::peer_connection_lost, verdict::may_have_run, "reason=instance_dead", {} }, now, out);
    }
    return out;
}

void request_core::beginStop(time_point)
{
    m_stopping = true;
}

std::size_t request_core::runningCount() const
{
    return m_requests.size();
}

const request_counters &request_core::counters() const
{
    return m_counters;
}

void request_core::on(const caller_request &event, time_point now, actions &out)
{
    if (m_requests.contains(event.id)) {
        ++m_counters.eventsIgnored;
        return;
    }
    const result<config::work_class> workClass = check(event);
    if (!workClass) {
        ++m_counters.refused;
        out.push_back(fail_request{ event.id, workClass.error() });
        return;
    }
    running_request &request = admit(event, *workClass, now);
    if (!request.repeatable && !event.idempotencyKey.empty()) {
        return startClaims(request, now, out);
    }
    startAttempt(request, now, out);
}

result<config::work_class> request_core::check(const caller_request &request) const
{
    if (m_stopping) {
        return tl::make_unexpected(error{ error_code::instance_stopping, verdict::not_run, "", m_options.retryAfter });
    }
    if (m_view == nullptr) {
        return tl::make_unexpected(error{ error_code::view_not_confirmed, verdict::not_run, "", m_options.retryAfter });
    }
    result<config::work_class> workClass = checkRequest(request, *m_view->config, m_services);
    const bool firstIsUnknown = request.callerRetry && request.idempotencyKey.empty();
    if (workClass && !workClass->repeatable && firstIsUnknown) {
        // Without an idempotency key it cannot be determined whether the caller's first request ran.
        return tl::make_unexpected(error{ error_code::duplicate_attempt, verdict::may_have_run, "reason=no_key", {} });
    }
    return workClass;
}

running_request &request_core::admit(const caller_request &event, const config::work_class &workClass, time_point now)
{
    auto owned = std::make_unique<running_request>();
    running_request &request = *owned;
    request.spec = event;
    request.repeatable = workClass.repeatable;
    request.order = m_nextOrder++;
    request.arrival = now;
    request.firstTokenDeadline = now + workClass.firstTokenTarget;
    request.deadline = now + workClass.totalTarget;
    m_requests.emplace(event.id, std::move(owned));
    m_byOrder.emplace(request.order, &request);
    ++m_counters.admitted;
    return request;
}

void request_core::on(const caller_gone &event, time_point, actions &out)
{
    const auto found = m_requests.find(event.id);
    if (found == m_requests.end()) {
        return;
    }
    fail(*found->second, { error_code::caller_gone, verdict::not_run, "", {} }, out);
}

void request_core::complete(running_request &request, const std::string &finishReason, actions &out)
{
    ++m_counters.completed;
    reportOutcome(request, verdict::ran, out);
    out.push_back(complete_request{ request.spec.id, finishReason });
    eraseRequest(request);
}

void request_core::fail(running_request &request, error failure, actions &out)
{
    failure.outcome = std::max(failure.outcome, request.worstVerdict);
    if (!request.attempt.empty()) {
        // The outcome of the live attempt is not known yet.
        failure.outcome = std::max(failure.outcome, verdict::may_have_run);
        out.push_back(cancel_attempt{ request.attempt });
    }
    // A retry time would invite a second run of a request that may not be repeated.
    const bool sendsRetryAfter = mayCallerRetry(failure.code) && (request.repeatable || failure.outcome == verdict::not_run);
    if (!sendsRetryAfter) {
        failure.retryAfter.reset();
    } else if (!failure.retryAfter) {
        failure.retryAfter = m_options.retryAfter;
    }
    ++m_counters.failed;
    reportOutcome(request, failure.outcome, out);
    out.push_back(fail_request{ request.spec.id, std::move(failure) });
    eraseRequest(request);
}

void request_core::eraseRequest(running_request &request)
{
    endAttempt(request);
    m_wakes.erase({ request.wake, request.order });
    m_byOrder.erase(request.order);
    m_requests.erase(request_id(request.spec.id));
}

std::optional<time_point> request_core::nextWake() const
{
    if (m_wakes.empty()) {
        return std::nullopt;
    }
    return m_wakes.begin()->first;
}

void request_core::runDue(time_point now, actions &out)
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        onDue(*m_byOrder.at(m_wakes.begin()->second), now, out);
    }
}

void request_core::onDue(running_request &request, time_point now, actions &out)
{
    const bool firstTokenLate = !request.delivered && now >= request.firstTokenDeadline;
    if (now >= request.deadline) {
        return fail(request, { error_code::deadline_exceeded, verdict::not_run, "target=total", {} }, out);
    }
    if (firstTokenLate && m_options.enforceFirstToken && request.repeatable && request.spec.service.empty()) {
        return fail(request, { error_code::deadline_exceeded, verdict::not_run, "target=first_token", {} }, out);
    }
    switch (request.state) {
    case request_state::claiming:
        return fail(request, { error_code::peer_connect_failed, verdict::not_run, "reason=key_home_silent", {} }, out);
    case request_state::waiting:
        return startAttempt(request, now, out);
    case request_state::running:
        return abandonAttempt(request, { error_code::backend_answer_invalid, verdict::may_have_run, "reason=missing_piece", {} }, now, out);
    }
}

time_point request_core::effectiveDeadline(const running_request &request) const
{
    const bool hasFirstTokenTarget
        = !request.delivered && m_options.enforceFirstToken && request.repeatable && request.spec.service.empty();
    return hasFirstTokenTarget ? std::min(request.deadline, request.firstTokenDeadline) : request.deadline;
}

time_point request_core::wakeTime(const running_request &request) const
{
    const time_point wake = effectiveDeadline(request);
    switch (request.state) {
    case request_state::claiming:
        return std::min(wake, request.claimDeadline);
    case request_state::waiting:
        return std::min(wake, request.retryAt);
    case request_state::running:
        return request.gapSince ? std::min(wake, *request.gapSince + m_options.gapTimeout) : wake;
    }
    return wake;
}

void request_core::schedule(running_request &request)
{
    const time_point wake = wakeTime(request);
    m_wakes.erase({ request.wake, request.order });
    request.wake = wake;
    m_wakes.emplace(wake, request.order);
}

} // namespace mustardtrail::request
