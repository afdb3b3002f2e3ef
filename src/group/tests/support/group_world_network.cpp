#include "group/tests/support/group_world.h"

#include "group/action_log.h"

namespace mustardtrail::group::testing
{

namespace
{

error failureOf(error_code code, verdict outcome)
{
    return { code, outcome, "world", std::nullopt };
}

std::string stamp(time_point now)
{
    return numbered("t=", static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - testStart).count()))
        + "ms";
}

kv_step stepOf(const kv_reserve & /*action*/)
{
    return kv_step::reserve;
}
kv_step stepOf(const kv_prefill & /*action*/)
{
    return kv_step::prefill;
}
kv_step stepOf(const kv_export & /*action*/)
{
    return kv_step::publish;
}
kv_step stepOf(const kv_import & /*action*/)
{
    return kv_step::attach;
}
kv_step stepOf(const kv_release & /*action*/)
{
    return kv_step::release;
}

result<std::string> run(fake_engine &engine, const kv_reserve &action, time_point now)
{
    return engine.reserve(engineGroupOf(action.call.key), action.tokens, action.lease, now);
}
result<std::string> run(fake_engine &engine, const kv_prefill &action, time_point now)
{
    return engine.prefill(engineGroupOf(action.call.key), action.index, action.tokens, action.previousDigest, now);
}
result<std::string> run(fake_engine &engine, const kv_export &action, time_point now)
{
    return engine.publish(engineGroupOf(action.call.key), now);
}
result<std::string> run(fake_engine &engine, const kv_import &action, time_point now)
{
    return engine.attach(engineGroupOf(action.call.key), action.ticket, now);
}
result<std::string> run(fake_engine &engine, const kv_release &action, time_point /*now*/)
{
    return engine.release(engineGroupOf(action.call.key));
}

} // namespace

void group_world::perform(const std::string &entry, const group_actions &list)
{
    for (const group_action &action : list) {
        trace += "  " + stamp(m_now) + " " + entry + " " + logLineOf(action, m_now) + "\n";
        const auto hook = m_hooks.find(actions++);
        if (hook != m_hooks.end()) {
            hook->second(action);
        }
        if (m_nodes[entry].alive) {
            std::visit(
                [&](const auto &value) {
                    carry(entry, value);
                },
                action);
        }
    }
    wakeLater(entry);
}

void group_world::carry(const std::string &entry, const reserve_at_owner &action)
{
    deliver([this, entry, action] {
        const std::string owner = action.instance.str();
        node &item = m_nodes[owner];
        if (!item.alive || item.pausedUntil > m_now) {
            return;
        }
        const reserve_reply reply = item.table->reserve(action.request, m_now);
        if (!reply.failure && item.released.contains({ action.request.key, action.request.backend })) {
            breach("reservation revived after its release");
        }
        deliver([this, entry, owner, reply] {
            toEntry(entry, owner_replied{ instance_id(owner), reply });
        });
    });
}

void group_world::carry(const std::string &entry, const release_at_owner &action)
{
    deliver([this, entry, action] {
        node &item = m_nodes[action.instance.str()];
        if (!item.alive || item.pausedUntil > m_now) {
            return;
        }
        item.table->release(action.request, m_now);
        item.released.insert({ action.request.key, action.request.backend });
        deliver([this, entry, action] {
            toEntry(entry, owner_released{ action.instance, action.request.key, action.request.backend });
        });
    });
}

template<typename kv_action> void group_world::carry(const std::string &entry, const kv_action &action)
{
    const engine_call &call = action.call;
    const kv_step step = stepOf(action);
    engine_replied reply{ step, call.key, call.backend, call.sequence, std::nullopt, {}, {} };
    if (step != kv_step::release && m_options.checksBeforeSend && !m_nodes[entry].coordinator->maySend(call, m_now)) {
        reply.failure = testing::failureOf(error_code::view_not_confirmed, verdict::not_run);
        post({}, [this, entry, reply] {
            toEntry(entry, reply);
        });
        return;
    }
    if (step != kv_step::release && m_now >= call.notAfter) {
        breach("sent after notAfter");
    }
    std::chrono::milliseconds work{ 0 };
    if constexpr (std::is_same_v<kv_action, kv_prefill>) {
        work = std::chrono::milliseconds(action.tokens * 1000 / prefillTokensPerSecond);
    }
    callEngine(entry, reply, work, [this, action](fake_engine &engine) {
        return testing::run(engine, action, m_now);
    });
}

void group_world::callEngine(const std::string &entry, const engine_replied &reply, std::chrono::milliseconds work, const engine_work &body)
{
    deliver([this, entry, reply, work, body] {
        if (reply.step == kv_step::prefill) {
            attempt_record &record = attempts[reply.key.group.str()];
            if (!record.repeatable && record.promptSeen != 0 && record.promptSeen != reply.key.generation) {
                breach("prompt sent again, and it may not be repeated");
            }
            record.promptSeen = reply.key.generation;
            m_chains[engineGroupOf(reply.key)].insert(reply.backend.str());
        }
        post(work, [this, entry, reply, body] {
            engine_replied answer = reply;
            const result<std::string> outcome = body(m_engines.at(reply.backend.str()));
            if (!outcome) {
                answer.failure = outcome.error();
            }
            answer.ticket = answer.digest = outcome.value_or("");
            deliver([this, entry, answer] {
                toEntry(entry, answer);
            });
        });
    });
}

void group_world::carry(const std::string &entry, const start_completion &action)
{
    deliver([this, entry, action] {
        attempt_record &record = attempts[action.work.attempt.str()];
        fake_engine &engine = m_engines.at(action.call.backend.str());
        const auto accepted = engine.accept(action.work.attempt, engineGroupOf(action.call.key), action.digest, m_now);
        if (!accepted) {
            deliver([this, entry, action, accepted] {
                toEntry(entry, completion_failed{ action.call.key, accepted.error() });
            });
            return;
        }
        ++record.accepted;
        post(decodeTime, [this, entry, action] {
            endCompletion(entry, action);
        });
    });
}

void group_world::endCompletion(const std::string &entry, const start_completion &action)
{
    const engine_group_id group = engineGroupOf(action.call.key);
    fake_engine &engine = m_engines.at(action.call.backend.str());
    bool whole = engine.runs(action.work.attempt);
    for (const std::string &member : m_chains[group]) {
        whole = whole && m_engines.at(member).holds(group, m_now);
    }
    engine.endStream(action.work.attempt);
    const error failure = testing::failureOf(error_code::backend_connection_lost, verdict::may_have_run);
    attempt_record &record = attempts[action.work.attempt.str()];
    if (whole && !record.ended) {
        record.finished = record.ended = true;
    }
    deliver([this, entry, action, whole, failure] {
        if (whole) {
            toEntry(entry, completion_finished{ action.call.key });
        } else {
            toEntry(entry, completion_failed{ action.call.key, failure });
        }
    });
}

void group_world::carry(const std::string & /*entry*/, const cancel_completion &action)
{
    deliver([this, action] {
        m_engines.at(action.backend.str()).endStream(action.attempt);
    });
}

void group_world::carry(const std::string & /*entry*/, const fail_group &action)
{
    attempt_record &record = attempts[action.attempt.str()];
    if (record.failure) {
        breach(action.attempt.str() + " failed twice");
    }
    if (m_now > record.deadline + confirmInterval && m_nodes[record.entry].pausedUntil == time_point{}) {
        breach(action.attempt.str() + " failed after its deadline");
    }
    record.ended = true;
    record.failure = action.failure;
}

} // namespace mustardtrail::group::testing
