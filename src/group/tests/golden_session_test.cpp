#include "group/group_coordinator.h"
#include "group/tests/support/action_text.h"
#include "group/tests/support/fleet.h"
#include "group/tests/support/golden_session.h"

#include "testing/expect.h"

#include <deque>

using namespace mustardtrail;
using namespace mustardtrail::group;
using namespace mustardtrail::group::testing;

namespace
{

constexpr token_count memoryTokens = 1000;

/// One coordinator and the answers of the owners and engines that the script names.
class scripted_session
{
public:
    scripted_session()
        : m_coordinator(
            {},
            [](const backend_server_id &) {
                return std::optional(memoryTokens);
            },
            random_source(7))
    {
        m_maker.config = std::make_shared<const config::configuration>(makeConfiguration(4, memoryTokens));
        m_maker.self = instance_id("e1");
    }

    std::string step(const session_input &input)
    {
        const time_point now = testStart + input.at;
        const auto event = eventOf(input, now);
        std::string lines;
        for (const group_action &action : event ? m_coordinator.handle(*event, now) : m_coordinator.onTick(now)) {
            lines += actionText(action);
            std::visit(
                [&](const auto &value) {
                    remember(value);
                },
                action);
        }
        return lines;
    }

private:
    std::optional<group_event> eventOf(const session_input &input, time_point now)
    {
        const backend_server_id backend(input.subject);
        if (input.verb == "view") {
            m_maker.owners[backend_server_id(input.text("engine", "g1"))] = instance_id(input.text("owner", "e1"));
            return view_changed{ m_maker.make(now) };
        }
        if (input.verb == "start") {
            return startOf(input, now);
        }
        if (input.verb == "granted" || input.verb == "refused") {
            const reserve_request &request = m_reserved[backend].request;
            const auto code = errorCodeFromString(input.text("code", "MT-4010"));
            const error failure{ *code, verdict::not_run, {}, std::chrono::milliseconds(500) };
            const auto outcome = input.verb == "granted" ? std::nullopt : std::optional(failure);
            return owner_replied{ m_reserved[backend].instance, { request.key, backend, request.sequence, 7, outcome } };
        }
        if (input.verb == "released") {
            return owner_released{ m_released[backend].instance, m_released[backend].request.key, backend };
        }
        if (input.verb == "ok" || input.verb == "failed" || input.verb == "again") {
            return engineAnswer(input, backend);
        }
        if (input.verb == "completion") {
            return completionOf(input.subject);
        }
        if (input.verb == "lost") {
            return engine_lost{ backend };
        }
        if (input.verb == "cancel") {
            return cancel_group{ attempt_id(input.subject) };
        }
        mustardtrail::testing::expectEqual(input.verb, "tick");
        return std::nullopt;
    }

    static group_event startOf(const session_input &input, time_point now)
    {
        start_group start;
        start.work.attempt = attempt_id(input.subject);
        start.work.model = model_id("pay");
        start.work.promptTokens = input.number("prompt");
        start.work.maxNewTokens = 20;
        start.work.deadline = now + std::chrono::milliseconds(input.number("deadline", 30000));
        start.work.repeatable = input.number("repeatable", 1) == 1;
        start.expectedPrefill = std::chrono::milliseconds(input.number("prompt"));
        start.expectedDecode = std::chrono::milliseconds(1000);
        return start;
    }

    group_event engineAnswer(const session_input &input, const backend_server_id &backend)
    {
        auto &calls = m_called[backend];
        if (input.verb != "again") {
            m_answered[backend] = calls.front();
            calls.pop_front();
        }
        engine_replied reply = m_answered[backend];
        if (input.verb == "failed") {
            reply.failure = error{ *errorCodeFromString(input.text("code")), verdict::may_have_run, {}, std::nullopt };
        }
        reply.digest = "digest-" + backend.str();
        reply.ticket = "ticket-" + backend.str();
        return reply;
    }

    group_event completionOf(const std::string &outcome) const
    {
        if (outcome == "finished") {
            return completion_finished{ m_completion };
        }
        if (outcome == "delivered") {
            return completion_delivered{ m_completion };
        }
        const verdict ran = outcome == "refused" ? verdict::not_run : verdict::may_have_run;
        return completion_failed{ m_completion, { error_code::backend_connection_lost, ran, {}, std::nullopt } };
    }

    void called(kv_step step, const engine_call &call)
    {
        m_called[call.backend].push_back({ step, call.key, call.backend, call.sequence, std::nullopt, {}, {} });
    }
    void remember(const reserve_at_owner &action)
    {
        m_reserved[action.request.backend] = action;
    }
    void remember(const release_at_owner &action)
    {
        m_released[action.request.backend] = action;
    }
    void remember(const kv_reserve &action)
    {
        called(kv_step::reserve, action.call);
    }
    void remember(const kv_prefill &action)
    {
        called(kv_step::prefill, action.call);
    }
    void remember(const kv_export &action)
    {
        called(kv_step::publish, action.call);
    }
    void remember(const kv_import &action)
    {
        called(kv_step::attach, action.call);
    }
    void remember(const kv_release &action)
    {
        called(kv_step::release, action.call);
    }
    void remember(const start_completion &action)
    {
        m_completion = action.call.key;
    }
    void remember(const cancel_completion & /*action*/)
    {
    }
    void remember(const fail_group & /*action*/)
    {
    }

    view_maker m_maker;
    group_coordinator m_coordinator;
    std::map<backend_server_id, reserve_at_owner> m_reserved;
    std::map<backend_server_id, release_at_owner> m_released;
    std::map<backend_server_id, std::deque<engine_replied>> m_called; ///< Not answered yet.
    std::map<backend_server_id, engine_replied> m_answered; ///< Last.
    group_key m_completion;
};

void replay(const std::string &name)
{
    scripted_session session;
    replayGolden(std::string(MT_GROUP_TESTS_DIR) + "/golden/" + name, [&](const session_input &input) {
        return session.step(input);
    });
}

} // namespace

Test(golden_session, threeEnginesToTheEnd)
{
    replay("three_engines.txt");
}

Test(golden_session, busyThenEngineLost)
{
    replay("busy_then_engine_lost.txt");
}

Test(golden_session, ownerChangesAndCallerGoes)
{
    replay("owner_changes_and_caller_goes.txt");
}

Test(golden_session, lateRepliesAndRefusedCompletion)
{
    replay("late_replies_and_refused_completion.txt");
}
