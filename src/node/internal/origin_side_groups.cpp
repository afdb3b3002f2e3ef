#include "node/internal/origin_side.h"

#include "base/overloaded.h"
#include "group/reservation_codec.h"
#include "node/internal/attempt_event.h"
#include "node/peer_methods.h"

// Prompts beyond one engine's memory: the coordinator's actions and the events of its completions.

namespace mustardtrail::node
{

namespace json = boost::json;

// The engines and the owner know a group's completion under the name of its generation; the request under its attempt.
void origin_side::onGroupAttempt(const attempt_event &event, time_point now, entry_actions &out)
{
    const auto found = m_groupRuns.find(attemptOf(event));
    group_run &run = found->second;
    const group::group_key key = run.key;
    const attempt_event forRequest = renamed(event, run.attempt);
    if (const auto *failed = std::get_if<request::attempt_failed>(&event)) {
        m_groupRuns.erase(found);
        carryOut(m_groups.handle(group::completion_failed{ key, failed->failure }, now), now, out);
        return;
    }
    const bool isFirstOutput = std::holds_alternative<request::attempt_output>(event) && !run.delivered;
    const bool isEnd = std::holds_alternative<request::attempt_finished>(event);
    run.delivered = run.delivered || isFirstOutput;
    if (isEnd) {
        m_groupRequests.erase(run.attempt);
        m_groupRuns.erase(found);
    }
    carryOut(m_core.handle(asRequestEvent(forRequest), now), now, out);
    if (isFirstOutput) {
        carryOut(m_groups.handle(group::completion_delivered{ key }, now), now, out);
    }
    if (isEnd) {
        carryOut(m_groups.handle(group::completion_finished{ key }, now), now, out);
    }
}

void origin_side::onGroup(const group::group_event &event, time_point now, entry_actions &out)
{
    carryOut(m_groups.handle(event, now), now, out);
}

void origin_side::carryOut(const group::group_actions &actions, time_point now, entry_actions &out)
{
    for (const group::group_action &action : actions) {
        std::visit(overloaded{
                       [&](const group::kv_reserve &item) {
                           carryOutEngineCall(item, now, out);
                       },
                       [&](const group::kv_prefill &item) {
                           carryOutEngineCall(item, now, out);
                       },
                       [&](const group::kv_export &item) {
                           carryOutEngineCall(item, now, out);
                       },
                       [&](const group::kv_import &item) {
                           carryOutEngineCall(item, now, out);
                       },
                       [&](const group::kv_release &item) {
                           carryOutEngineCall(item, now, out);
                       },
                       [&](const auto &item) {
                           carryOut(item, now, out);
                       },
                   },
            action);
    }
}

template<typename kv_call> void origin_side::carryOutEngineCall(const kv_call &action, time_point, entry_actions &out)
{
    // The group is named after its attempt; the prompt is found by the request.
    const auto request = m_groupRequests.find(attempt_id(action.call.key.group.str()));
    out.push_back(call_engine{
        action, backendAddress(action.call.backend), request == m_groupRequests.end() ? request_id() : request->second.request });
}

void origin_side::carryOut(const group::reserve_at_owner &action, time_point now, entry_actions &out)
{
    if (action.instance == m_options.self) {
        const group::reserve_reply reply = m_owner.reserve(action.request, now);
        carryOut(m_groups.handle(group::owner_replied{ action.instance, reply }, now), now, out);
        return;
    }
    const auto answered = [this, action](const result<json::value> &answer, time_point at) {
        group::reserve_reply reply{ action.request.key, action.request.backend, action.request.sequence, 0, std::nullopt };
        const auto read = answer ? group::reserveReplyFromJson(*answer) : result<group::reserve_reply>(tl::unexpected(answer.error()));
        if (read) {
            reply = *read;
        } else {
            reply.failure = read.error();
        }
        carryOut(m_groups.handle(group::owner_replied{ action.instance, reply }, at), at, *m_out);
    };
    const auto to = addressOf(action.instance).value_or(endpoint{});
    m_calls.call(to, std::string(peer_method::reserve), group::toJson(action.request), m_options.groups.ownerTimeout, answered, out);
}

void origin_side::carryOut(const group::release_at_owner &action, time_point now, entry_actions &out)
{
    if (action.instance == m_options.self) {
        m_owner.release(action.request, now, out);
        carryOut(m_groups.handle(group::owner_released{ action.instance, action.request.key, action.request.backend }, now), now, out);
        return;
    }
    const auto answered = [this, action](const result<json::value> &answer, time_point at) {
        if (answer) {
            const group::owner_released released{ action.instance, action.request.key, action.request.backend };
            carryOut(m_groups.handle(released, at), at, *m_out);
        }
    };
    const auto to = addressOf(action.instance).value_or(endpoint{});
    m_calls.call(to, std::string(peer_method::release), group::toJson(action.request), m_options.groups.ownerTimeout, answered, out);
}

void origin_side::carryOut(const group::start_completion &action, time_point now, entry_actions &out)
{
    const group::engine_group_id name = group::engineGroupOf(action.call.key);
    const auto found = m_groupRequests.find(action.work.attempt);
    const group_request started = found == m_groupRequests.end() ? group_request{} : found->second;
    hop_attempt attempt{ action.work,
        m_options.self,
        {},
        started.deliveredTokens,
        started.deliveredText,
        group_target{ name, action.call.backend, action.digest } };
    attempt.work.attempt = attempt_id(name.str());
    m_groupRuns[attempt.work.attempt] = { action.work.attempt, action.work.request, action.call.key, false };
    handOver(attempt, action.owner, now, out);
}

void origin_side::carryOut(const group::cancel_completion &action, time_point now, entry_actions &out)
{
    for (auto run = m_groupRuns.begin(); run != m_groupRuns.end(); ++run) {
        if (run->second.attempt == action.attempt) {
            const attempt_id atOwner = run->first;
            m_groupRuns.erase(run);
            stopAttempt(atOwner, now, out);
            return;
        }
    }
}

void origin_side::carryOut(const group::fail_group &action, time_point now, entry_actions &out)
{
    m_groupRequests.erase(action.attempt);
    carryOut(m_core.handle(request::attempt_failed{ action.attempt, action.failure, {} }, now), now, out);
}

} // namespace mustardtrail::node
