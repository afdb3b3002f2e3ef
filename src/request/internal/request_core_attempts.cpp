#include "request/request_core.h"

#include "request/internal/continuation.h"
#include "request/internal/failure_kind.h"
#include "request/internal/running_request.h"

#include <algorithm>

namespace mustardtrail::request
{

using std::chrono::milliseconds;

void request_core::startAttempt(running_request &request, time_point now, actions &out)
{
    ++request.attempts;
    const placement::work_item work = workOf(request, now);
    const result<instance_id> target = chooseInstance(request, work, now);
    if (!target) {
        return fail(request, target.error(), out);
    }
    ++m_counters.attempts;
    if (request.attempts == 1) {
        m_budget.onFirstAttempt();
    } else {
        ++m_counters.retries;
    }
    request.state = request_state::running;
    request.attempt = work.attempt;
    request.target = *target;
    request.backend = {};
    request.answer.emplace(m_options.maxPiecesAhead);
    request.gapSince.reset();
    m_live.emplace(request.attempt, &request);
    schedule(request);
    start_attempt start{ work, *target, request.excludedBackends, "", 0 };
    if (request.delivered) {
        ++m_counters.continuations;
        start.deliveredText = request.deliveredText;
        start.deliveredTokens = request.deliveredTokens;
    }
    out.push_back(std::move(start));
}

placement::work_item request_core::workOf(const running_request &request, time_point now) const
{
    placement::work_item work;
    work.attempt = attempt_id(request.spec.id.str() + "." + std::to_string(request.attempts));
    work.request = request.spec.id;
    work.customer = request.spec.customer;
    work.workClass = request.spec.workClass;
    work.model = request.spec.model;
    work.service = request.spec.service;
    work.promptTokens = request.spec.promptTokens;
    work.maxNewTokens = request.spec.maxNewTokens;
    work.prefixHash = request.spec.prefixHash;
    work.arrival = now;
    // The attempt ends before the request, so that what its owner knows of the verdict arrives in time.
    work.deadline = std::max(now, request.deadline - m_options.deadlineMargin);
    const milliseconds margin = request.delivered ? milliseconds(0) : m_options.deadlineMargin;
    const time_point firstToken = request.delivered ? now + (request.firstTokenDeadline - request.arrival) : request.firstTokenDeadline;
    work.firstTokenDeadline = std::min(work.deadline, std::max(now, firstToken - margin));
    work.repeatable = request.repeatable;
    return work;
}

result<instance_id> request_core::chooseInstance(running_request &request, const placement::work_item &work, time_point now)
{
    const std::vector<instance_id> avoided = avoidedInstances(request);
    result<instance_id> target = m_chooseOwner(work, request.excludedBackends, avoided, now);
    if (!target && avoided.size() > request.excludedInstances.size()) {
        // No other data centre can take it: a further server of the same one is better than none.
        target = m_chooseOwner(work, request.excludedBackends, request.excludedInstances, now);
    }
    return target;
}

std::vector<instance_id> request_core::avoidedInstances(const running_request &request) const
{
    std::vector<instance_id> avoided = request.excludedInstances;
    const auto isWorn = [&](const data_centre_id &dataCentre) {
        const auto failures = request.failures.find(dataCentre);
        return failures != request.failures.end() && failures->second >= m_options.attemptsPerDataCentre;
    };
    if (request.failures.empty()) {
        return avoided;
    }
    if (isWorn(m_view->selfDataCentre)) {
        avoided.push_back(m_self);
    }
    for (const auto &[id, peer] : m_view->peers) {
        if (isWorn(peer.dataCentre)) {
            avoided.push_back(id);
        }
    }
    return avoided;
}

data_centre_id request_core::dataCentreOf(const instance_id &instance) const
{
    if (instance == m_self) {
        return m_view->selfDataCentre;
    }
    const auto peer = m_view->peers.find(instance);
    return peer == m_view->peers.end() ? data_centre_id() : peer->second.dataCentre;
}

running_request *request_core::findLive(const attempt_id &attempt)
{
    const auto found = m_live.find(attempt);
    if (found == m_live.end()) {
        ++m_counters.eventsIgnored;
        return nullptr;
    }
    return found->second;
}

void request_core::on(const attempt_accepted &event, time_point, actions &)
{
    running_request *request = findLive(event.attempt);
    if (request == nullptr) {
        return;
    }
    request->backend = event.backend;
    if (request->answer->taken() > 0) {
        request->answeredBy = event.backend;
    }
}

void request_core::on(const attempt_output &event, time_point now, actions &out)
{
    running_request *request = findLive(event.attempt);
    if (request == nullptr) {
        return;
    }
    if (!request->answer->add(event)) {
        return giveUpAttempt(*request, { error_code::backend_answer_invalid, verdict::may_have_run, "reason=piece", {} }, now, out);
    }
    relayReady(*request, now, out);
}

void request_core::on(const attempt_finished &event, time_point now, actions &out)
{
    running_request *request = findLive(event.attempt);
    if (request == nullptr) {
        return;
    }
    if (!request->answer->end(event.chunks, event.finishReason)) {
        return giveUpAttempt(*request, { error_code::backend_answer_invalid, verdict::ran, "reason=end", {} }, now, out);
    }
    relayReady(*request, now, out);
}

void request_core::relayReady(running_request &request, time_point now, actions &out)
{
    const bool first = !request.delivered;
    while (std::optional<attempt_output> piece = request.answer->take()) {
        request.delivered = true;
        request.deliveredTokens += piece->tokens;
        request.answeredBy = request.backend;
        if (request.repeatable) {
            request.deliveredText += piece->text;
        }
        out.push_back(relay_output{ request.spec.id, std::move(piece->text), piece->tokens });
    }
    if (request.answer->isWhole()) {
        const std::string finishReason = request.answer->finishReason();
        endAttempt(request);
        return complete(request, finishReason, out);
    }
    const bool waited = request.gapSince.has_value();
    if (!request.answer->isWaiting()) {
        request.gapSince.reset();
    } else if (!waited) {
        request.gapSince = now;
    }
    if (first || waited != request.gapSince.has_value()) {
        schedule(request);
    }
}

void request_core::on(const attempt_failed &event, time_point now, actions &out)
{
    running_request *request = findLive(event.attempt);
    if (request == nullptr) {
        return;
    }
    error failure = event.failure;
    if (request->answer->taken() > 0 || request->answer->isWaiting()) {
        failure.outcome = std::max(failure.outcome, verdict::may_have_run);
    }
    afterFailure(*request, failure, event.backend, now, out);
}

void request_core::giveUpAttempt(running_request &request, const error &failure, time_point now, actions &out)
{
    out.push_back(cancel_attempt{ request.attempt });
    afterFailure(request, failure, request.backend, now, out);
}

void request_core::afterFailure(
    running_request &request, const error &failure, const backend_server_id &backend, time_point now, actions &out)
{
    if (request.delivered && request.answeredBy.empty()) {
        request.answeredBy = backend;
    }
    request.worst = std::max(request.worst, failure.outcome);
    recordFailure(request, failure.code, backend.empty() ? request.backend : backend);
    endAttempt(request);
    retryOrFail(request, failure, now, out);
}

void request_core::recordFailure(running_request &request, error_code code, const backend_server_id &backend)
{
    ++request.failures[dataCentreOf(request.target)];
    if (backend.empty() || isFaultOfInstance(code)) {
        request.excludedInstances.push_back(request.target);
    }
    if (!backend.empty()) {
        request.excludedBackends.push_back(backend);
    }
}

void request_core::endAttempt(running_request &request)
{
    if (request.attempt.empty()) {
        return;
    }
    m_live.erase(request.attempt);
    request.attempt = {};
    request.answer.reset();
    request.gapSince.reset();
}

void request_core::retryOrFail(running_request &request, const error &failure, time_point now, actions &out)
{
    const bool allDelivered = request.repeatable && request.spec.maxNewTokens > 0 && request.deliveredTokens >= request.spec.maxNewTokens;
    if (allDelivered) {
        // Only the explicit end was lost: the answer has reached the length that the caller allowed.
        return complete(request, "length", out);
    }
    const milliseconds wait = backoff(request);
    if (const std::optional<error> final = whyNoRetry(request, failure, now, wait)) {
        return fail(request, *final, out);
    }
    if (request.delivered) {
        const auto others = otherVersions(*m_view->config, request.spec.model, request.answeredBy);
        request.excludedBackends.insert(request.excludedBackends.end(), others->begin(), others->end());
    }
    if (wait == milliseconds(0)) {
        return startAttempt(request, now, out);
    }
    request.state = request_state::waiting;
    request.retryAt = now + wait;
    schedule(request);
}

std::optional<error> request_core::whyNoRetry(const running_request &request, const error &failure, time_point now, milliseconds wait)
{
    const bool mayRunAgain = request.repeatable || request.worst == verdict::not_run;
    if (!mayRunAgain || !isWorthRetry(failure.code) || request.attempts >= m_options.maxAttempts) {
        return failure;
    }
    const bool mayContinue = !request.delivered || otherVersions(*m_view->config, request.spec.model, request.answeredBy).has_value();
    if (!mayContinue) {
        return failure;
    }
    const std::string cause = "cause=" + toString(failure.code);
    if (now + wait + m_options.minAttemptTime >= wakeOf(request)) {
        return error{ error_code::deadline_exceeded, failure.outcome, cause, failure.retryAfter };
    }
    if (!m_budget.trySpend()) {
        return error{ error_code::retry_budget_spent, failure.outcome, cause, failure.retryAfter };
    }
    return std::nullopt;
}

milliseconds request_core::backoff(const running_request &request)
{
    // The second attempt goes to another backend server: waiting would only cost time.
    if (request.attempts < 2) {
        return milliseconds(0);
    }
    const milliseconds longest = std::min(m_options.backoffLimit, m_options.backoffBase * (1 << std::min(request.attempts - 2, 16)));
    const auto half = longest.count() / 2;
    return milliseconds(half + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(longest.count() - half) + 1)));
}

} // namespace mustardtrail::request
