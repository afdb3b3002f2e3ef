#include "request/request_core.h"

#include "request/internal/continuation.h"
#include "request/internal/failure_kind.h"
#include "request/internal/running_request.h"

#include <algorithm>

namespace mustardtrail::request
{

using std::chrono::milliseconds;

void request_core::afterFailure(
    running_request &request, const error &failure, const backend_server_id &backend, time_point now, actions &out)
{
    if (request.delivered && !request.answeredVersion) {
        request.answeredVersion = modelVersionOf(backend);
    }
    request.worstVerdict = std::max(request.worstVerdict, failure.outcome);
    recordFailure(request, failure.code, backend.empty() ? request.backend : backend);
    endAttempt(request);
    retryOrFail(request, failure, now, out);
}

void request_core::recordFailure(running_request &request, error_code code, const backend_server_id &backend)
{
    ++request.failures[dataCentreOf(request.target)];
    if (backend.empty() || isInstanceFailure(code)) {
        request.excludedInstances.push_back(request.target);
    }
    if (!backend.empty()) {
        request.excludedBackends.push_back(backend);
    }
}

void request_core::retryOrFail(running_request &request, const error &failure, time_point now, actions &out)
{
    const bool allDelivered = request.repeatable && request.spec.maxNewTokens > 0 && request.deliveredTokens >= request.spec.maxNewTokens;
    if (allDelivered) {
        // Only the explicit end was lost: the answer has reached the caller's length limit.
        return complete(request, "length", out);
    }
    const milliseconds wait = backoff(request);
    if (const std::optional<error> final = retryRefusal(request, failure, now, wait)) {
        return fail(request, *final, out);
    }
    if (request.delivered) {
        excludeOtherVersions(request);
    }
    if (wait == milliseconds(0)) {
        return startAttempt(request, now, out);
    }
    request.state = request_state::waiting;
    request.retryAt = now + wait;
    schedule(request);
}

std::optional<std::string> request_core::modelVersionOf(const backend_server_id &backend) const
{
    const auto found = m_view->config->backendServers.find(backend);
    if (found == m_view->config->backendServers.end()) {
        return std::nullopt;
    }
    return found->second.modelVersion;
}

void request_core::excludeOtherVersions(running_request &request) const
{
    const std::vector<backend_server_id> others = otherVersions(*m_view->config, request.spec.model, *request.answeredVersion);
    request.excludedBackends.insert(request.excludedBackends.end(), others.begin(), others.end());
}

std::optional<error> request_core::retryRefusal(const running_request &request, const error &failure, time_point now, milliseconds wait)
{
    const bool mayRunAgain = request.repeatable || request.worstVerdict == verdict::not_run;
    if (!mayRunAgain || !isRetryable(failure.code) || request.attempts >= m_options.maxAttempts) {
        return failure;
    }
    // A plain service cannot continue a partly delivered answer.
    const bool mayContinue = request.answeredVersion.has_value() && request.spec.service.empty();
    if (request.delivered && !mayContinue) {
        return failure;
    }
    const std::string cause = "cause=" + toString(failure.code);
    if (now + wait + m_options.minAttemptTime >= effectiveDeadline(request)) {
        return error{ error_code::deadline_exceeded, failure.outcome, cause, failure.retryAfter };
    }
    if (!m_budget.trySpend()) {
        return error{ error_code::retry_budget_spent, failure.outcome, cause, failure.retryAfter };
    }
    return std::nullopt;
}

milliseconds request_core::backoff(const running_request &request)
{
    // The second attempt goes to another backend server, so it starts without delay.
    if (request.attempts < 2) {
        return milliseconds(0);
    }
    const milliseconds longest = std::min(m_options.backoffLimit, m_options.backoffBase * (1 << std::min(request.attempts - 2, 16)));
    const auto half = longest.count() / 2;
    return milliseconds(half + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(longest.count() - half) + 1)));
}

} // namespace mustardtrail::request
