#include "programs/gateway/placement_query.h"

#include "gateway/placement_explanation.h"
#include "http/status.h"
#include "platform/request_head.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <cmath>

namespace mustardtrail::gateway
{

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using action = placement_decision::action;

namespace
{

constexpr std::string_view mediaType = "application/json";

struct placement_question {
    std::string host;
    std::string path; ///< Without a query.
    std::optional<std::int64_t> promptTokens;
    std::int64_t answerTokens = 0;
    customer_id customer; ///< May be empty.
};

http::response_message problem(int status, std::string_view reason)
{
    return http::makeResponse(status, json::serialize(json::object{ { "error", reason } }) + "\n", mediaType);
}

std::optional<std::int64_t> tokensFrom(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = failure == std::errc() && end == text.data() + text.size();
    return isNumber && value >= 0 && value <= platform::request_head::maxTokens ? std::optional(value) : std::nullopt;
}

// The error is the reason of the refusal.
tl::expected<placement_question, std::string_view> readQuestion(const http::request_message &request)
{
    placement_question question;
    question.host = request.query("host");
    question.path = request.query("path");
    question.path.resize(std::min(question.path.find('?'), question.path.size()));
    question.customer = customer_id(request.query("customer"));
    if (question.host.empty()) {
        return tl::unexpected(std::string_view("host_missing"));
    }
    if (!question.path.starts_with('/')) {
        return tl::unexpected(std::string_view("path_without_slash"));
    }
    const std::string prompt = request.query("prompt");
    const std::string answer = request.query("answer");
    question.promptTokens = prompt.empty() ? std::nullopt : tokensFrom(prompt);
    if (!prompt.empty() && !question.promptTokens) {
        return tl::unexpected(std::string_view("prompt_not_a_token_count"));
    }
    const auto answerTokens = answer.empty() ? std::optional<std::int64_t>(0) : tokensFrom(answer);
    if (!answerTokens) {
        return tl::unexpected(std::string_view("answer_not_a_token_count"));
    }
    question.answerTokens = *answerTokens;
    return question;
}

template<typename duration> std::int64_t toMs(duration time)
{
    return duration_cast<milliseconds>(time).count();
}

std::string_view verdictName(action next)
{
    return next == action::send ? "send" : next == action::wait ? "wait" : "refuse";
}

std::string nameOf(const fleet_state &state, server_key key)
{
    const auto *server = state.findServer(key);
    return server ? server->entry.id.str() : std::to_string(key);
}

json::object toJson(const candidate_explanation &explained, const fleet_state &state, const placement_inputs &inputs)
{
    const placement_candidate &candidate = explained.candidate;
    json::object object{ { "server", nameOf(state, candidate.key) },
        { "chosen", explained.isChosen },
        { "reason", explained.reason },
        { "suspected", candidate.isSuspected },
        { "other_cell", candidate.isOfOtherCell },
        { "requests", candidate.load.requests + candidate.unseenRequests },
        { "slots", candidate.slots },
        { "slowness_percent", std::llround(candidate.slowness * 100.0) },
        { "known_ago_ms", candidate.pictureAge.count() } };
    if (inputs.engine && explained.firstEvent) {
        object["first_event_ms"] = toMs(*explained.firstEvent);
        object["pending_prefill_ms"] = toMs(explained.pendingPrefill);
        object["memory_tokens"] = candidate.load.memoryTokens;
        object["memory_limit_tokens"] = inputs.engine->memoryTokens;
    }
    return object;
}

json::object toJson(const waiting_prompt &prompt, time_point now)
{
    return { { "prompt_tokens", prompt.promptTokens },
        { "urgency", prompt.urgency },
        { "age_ms", toMs(now - prompt.arrivedAt) },
        { "due_in_ms", toMs(prompt.firstEventDueAt - now) } };
}

json::object verdictOf(const placement_explanation &explained, const fleet_state &state, milliseconds timeLimit)
{
    const placement_decision &decision = explained.decision;
    json::object object{ { "verdict", verdictName(decision.next) }, { "reason", decision.reason } };
    json::array servers;
    if (decision.next == action::send) {
        for (const placed_part &part : decision.parts) {
            servers.emplace_back(nameOf(state, part.server));
        }
        object["on_time"] = decision.isOnTime;
        if (explained.inputs.engine) {
            object["first_event_ms"] = toMs(decision.predictedFirstEvent);
        }
    }
    object["servers"] = std::move(servers);
    if (decision.next == action::refuse) {
        object["retry_after_ms"] = retryWithin(decision.retryAfter, timeLimit).count();
    }
    if (explained.room) {
        // Null: not foreseen.
        const bool isForeseen = explained.room->capacityIn < notForeseen;
        object["capacity_in_ms"] = isForeseen ? json::value(toMs(explained.room->capacityIn)) : json::value(nullptr);
    }
    return object;
}

json::object toJson(const placement_explanation &explained, const placement_subject &subject, const fleet_state &state, time_point now)
{
    json::object answer = verdictOf(explained, state, duration_cast<milliseconds>(subject.deadlineAt - now));
    answer["route"] = subject.from.name;
    answer["service"] = subject.service.str();
    answer["customer"] = subject.customer.str();
    answer["urgency"] = urgencyOf(subject);
    answer["coordinated"] = subject.policy.isCoordinated;
    answer["config"] = subject.routes.version();
    answer["scope"] = explained.inputs.scope == server_scope::own_cell ? "own_cell" : "fleet";
    json::array candidates;
    for (const candidate_explanation &each : explained.candidates) {
        candidates.emplace_back(toJson(each, state, explained.inputs));
    }
    answer["candidates"] = std::move(candidates);
    json::array ahead;
    for (const waiting_prompt &each : explained.inputs.ahead) {
        ahead.emplace_back(toJson(each, now));
    }
    answer["ahead"] = std::move(ahead);
    return answer;
}

} // namespace

http::response_message answerPlacementQuery(
    const fleet_state &state, size_t queuedHere, const http::request_message &request, time_point now)
{
    if (!state.mayServe(now)) {
        return problem(http::statusUnavailable, state.routes ? "config_not_confirmed" : "no_config");
    }
    const auto question = readQuestion(request);
    if (!question) {
        return problem(http::statusBadRequest, question.error());
    }
    const route_table &routes = *state.routes;
    const route *found = routes.find(question->host, question->path);
    if (!found) {
        return problem(http::statusNotFound, "no_route");
    }
    if (!question->customer.empty() && !routes.isCustomer(question->customer)) {
        return problem(http::statusBadRequest, "unknown_customer");
    }
    // Of several services the one in the middle of the weights, which is the one with more than half of them, if any.
    constexpr double middle = 0.5;
    const service_id &service = chooseServiceByWeight(*found, middle);
    const std::set<backend_server_id> none;
    placement_subject subject{ routes, *found, service, routes.policyOf(service), question->customer, none };
    subject.promptTokens = question->promptTokens;
    subject.answerTokens = question->answerTokens;
    subject.arrivedAt = now;
    subject.deadlineAt = now + requestTimeLimit(*found, std::nullopt);
    const placement_explanation explained = explainPlacement(state, subject, now);

    json::object answer = toJson(explained, subject, state, now);
    answer["queued_here"] = queuedHere;
    return http::makeResponse(http::statusOk, json::serialize(answer) + "\n", mediaType);
}

} // namespace mustardtrail::gateway
