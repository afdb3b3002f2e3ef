#include "request/request_core.h"

#include "request/internal/running_request.h"

#include <algorithm>

namespace mustardtrail::request
{

using std::chrono::milliseconds;

void request_core::startAttempt(running_request &request, time_point now, actions &out)
{
    ++request.attempts;
    const placement::work_item work = makeWorkItem(request, now);
    const result<instance_id> target = chooseInstance(request, work, now);
    if (!target) {
        --request.attempts;
        return mayResetExclusions(request, target.error(), now) ? resetExclusions(request, now) : fail(request, target.error(), out);
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
    request.version.reset();
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

// A repeatable request that may have run does not fail while there is time, even when every live server has failed it once
// or was unreachable: it retries them. A request that has not run is refused at once with a retry time.
bool request_core::mayResetExclusions(const running_request &request, const error &failure, time_point now) const
{
    const bool wasInterrupted = request.worstVerdict != verdict::not_run && request.repeatable;
    const bool hasExcluded = !request.excludedBackends.empty() || !request.excludedInstances.empty();
    const bool hasTime = now + m_options.exclusionResetDelay + m_options.minAttemptTime < effectiveDeadline(request);
    return failure.code == error_code::no_backend_server && wasInterrupted && hasExcluded && hasTime;
}

void request_core::resetExclusions(running_request &request, time_point now)
{
    request.excludedBackends.clear();
    request.excludedInstances.clear();
    request.failures.clear();
    if (request.delivered) {
        excludeOtherVersions(request);
    }
    request.state = request_state::waiting;
    request.retryAt = now + m_options.exclusionResetDelay;
    schedule(request);
}

placement::work_item request_core::makeWorkItem(const running_request &request, time_point now) const
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
    // The attempt ends before the request's deadline, so that the verdict of its owner arrives in time.
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
        // No other data centre can take the request: one that has reached its limit of failures is better than none.
        target = m_chooseOwner(work, request.excludedBackends, request.excludedInstances, now);
    }
    return target;
}

std::vector<instance_id> request_core::avoidedInstances(const running_request &request) const
{
    std::vector<instance_id> avoided = request.excludedInstances;
    const auto hasReachedLimit = [&](const data_centre_id &dataCentre) {
        const auto failures = request.failures.find(dataCentre);
        return failures != request.failures.end() && failures->second >= m_options.attemptsPerDataCentre;
    };
    if (request.failures.empty()) {
        return avoided;
    }
    if (hasReachedLimit(m_view->selfDataCentre)) {
        avoided.push_back(m_self);
    }
    for (const auto &[id, peer] : m_view->peers) {
        if (hasReachedLimit(peer.dataCentre)) {
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

running_request *request_core::findLiveAttempt(const attempt_id &attempt)
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
    running_request *request = findLiveAttempt(event.attempt);
    if (request == nullptr) {
        return;
    }
    request->backend = event.backend;
    // The configured version may change during the answer; the one at its start applies.
    request->version = modelVersionOf(event.backend);
    if (request->answer->taken() > 0) {
        request->answeredVersion = request->version;
    }
}

void request_core::on(const attempt_output &event, time_point now, actions &out)
{
    running_request *request = findLiveAttempt(event.attempt);
    if (request == nullptr) {
        return;
    }
    if (!request->answer->add(event)) {
        return abandonAttempt(*request, { error_code::backend_answer_invalid, verdict::may_have_run, "reason=piece", {} }, now, out);
    }
    relayReady(*request, now, out);
}

void request_core::on(const attempt_finished &event, time_point now, actions &out)
{
    running_request *request = findLiveAttempt(event.attempt);
    if (request == nullptr) {
        return;
    }
    if (!request->answer->end(event.chunks, event.finishReason)) {
        return abandonAttempt(*request, { error_code::backend_answer_invalid, verdict::ran, "reason=end", {} }, now, out);
    }
    relayReady(*request, now, out);
}

void request_core::relayReady(running_request &request, time_point now, actions &out)
{
    const bool first = !request.delivered;
    while (std::optional<attempt_output> piece = request.answer->take()) {
        request.delivered = true;
        request.deliveredTokens += piece->tokens;
        request.answeredVersion = request.version;
        if (request.repeatable) {
            request.deliveredText += piece->text;
        }
        out.push_back(relay_output{ request.spec.id, std::move(piece->text), piece->tokens });
    }
    if (request.answer->isComplete()) {
        const std::string finishReason = request.answer->finishReason();
        endAttempt(request);
        return complete(request, finishReason, out);
    }
    const bool waited = request.gapSince.has_value();
    if (!request.answer->hasGap()) {
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
    running_request *request = findLiveAttempt(event.attempt);
    if (request == nullptr) {
        return;
    }
    error failure = event.failure;
    if (request->answer->taken() > 0 || request->answer->hasGap()) {
        failure.outcome = std::max(failure.outcome, verdict::may_have_run);
    }
    afterFailure(*request, failure, event.backend, now, out);
}

void request_core::abandonAttempt(running_request &request, const error &failure, time_point now, actions &out)
{
    out.push_back(cancel_attempt{ request.attempt });
    afterFailure(request, failure, request.backend, now, out);
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

} // namespace mustardtrail::request
