#include "group/tests/support/group_world.h"

#include "group/action_log.h"

#include <algorithm>

namespace mustardtrail::group::testing
{

namespace
{

constexpr token_count prefillTokensPerSecond = 1000;
constexpr std::chrono::milliseconds decodeTime{ 1000 };
constexpr token_count answerTokens = 20;
constexpr std::chrono::milliseconds pollInterval{ 1000 };
constexpr std::chrono::milliseconds confirmInterval{ 250 };
constexpr std::chrono::milliseconds deathNoticedAfter{ 2000 };

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

group_world::group_world(world_options options)
    : m_options(options)
    , m_random(options.seed)
{
    const auto config = std::make_shared<const config::configuration>(makeConfiguration(options.engines, options.memoryTokens));
    std::map<backend_server_id, instance_id> owners;
    std::uint64_t next = 0;
    for (const auto &[id, server] : config->backendServers) {
        m_engines.emplace(id.str(), options.memoryTokens);
        owners[id] = instance_id(numbered("e", next++ % static_cast<std::uint64_t>(options.entries) + 1));
    }
    for (int number = 1; number <= options.entries; ++number) {
        const std::string name = numbered("e", static_cast<std::uint64_t>(number));
        node &item = m_nodes[name];
        item.maker = { config, instance_id(name), owners, {}, false };
        const auto free = [this](const backend_server_id &id) -> std::optional<token_count> {
            const bool stale
                = m_options.staleFreePercent > 0 && m_random.below(100) < static_cast<std::uint64_t>(m_options.staleFreePercent);
            return m_options.memoryTokens - (stale ? 0 : m_engines.at(id.str()).heldTokens(m_now));
        };
        item.coordinator = std::make_unique<group_coordinator>(options.group, free, random_source(options.seed * 31 + next++));
        const auto memory = [this, name](const backend_server_id &id, const group_key &key) {
            return memoryAt(name, id, key);
        };
        item.table = std::make_unique<reservation_table>(options.reservations, memory);
        const auto known = [this, name](const backend_server_id &id, const engine_group_id &group) {
            return m_nodes[name].table->holds(id, group);
        };
        item.reconciler = std::make_unique<memory_reconciler>(options.reconcile, known);
        confirmView(name);
        poll(name);
    }
}

void group_world::submit(
    const std::string &attempt, const std::string &entry, token_count prompt, std::chrono::milliseconds deadline, bool repeatable)
{
    start_group start;
    start.work.attempt = attempt_id(attempt);
    start.work.model = model_id("pay");
    start.work.promptTokens = prompt;
    start.work.maxNewTokens = answerTokens;
    start.work.deadline = m_now + deadline;
    start.work.repeatable = repeatable;
    start.expectedPrefill = std::chrono::milliseconds(prompt * 1000 / prefillTokensPerSecond);
    start.expectedDecode = decodeTime;
    attempts[attempt].entry = entry;
    attempts[attempt].deadline = start.work.deadline;
    attempts[attempt].repeatable = repeatable;
    toEntry(entry, start);
}

void group_world::cancel(const std::string &attempt)
{
    attempt_record &record = attempts[attempt];
    if (!record.ended) {
        record.ended = true;
        toEntry(record.entry, cancel_group{ attempt_id(attempt) });
    }
}

void group_world::killEntry(const std::string &entry)
{
    if (livingEntries() == 1) {
        return;
    }
    m_nodes[entry].alive = false;
    m_nodes[entry].diedAt = m_now;
    for (auto &[name, record] : attempts) {
        record.ended = record.ended || record.entry == entry;
    }
}

std::int64_t group_world::livingEntries() const
{
    return std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto &entry) {
        return entry.second.alive;
    });
}

void group_world::inheritFromDead(view_maker &maker)
{
    const auto heir = std::find_if(m_nodes.begin(), m_nodes.end(), [](const auto &entry) {
        return entry.second.alive;
    });
    for (auto &[backend, owner] : maker.owners) {
        const node &item = m_nodes[owner.str()];
        if (!item.alive && m_now - item.diedAt >= deathNoticedAfter) {
            owner = instance_id(heir->first);
            maker.fencing[backend] = std::max<std::uint64_t>(maker.fencing[backend], 1) + 1;
        }
    }
}

void group_world::pauseEntry(const std::string &entry, std::chrono::milliseconds span)
{
    m_nodes[entry].pausedUntil = m_now + span;
}

void group_world::loseView(const std::string &entry, std::chrono::milliseconds span)
{
    m_nodes[entry].viewLostUntil = m_now + span;
}

void group_world::restartEngine(const std::string &engine)
{
    m_engines.at(engine).restart();
    for (const auto &[name, item] : m_nodes) {
        post(delay(), [this, name = name, engine] {
            toEntry(name, engine_lost{ backend_server_id(engine) });
        });
    }
}

void group_world::moveOwner(const std::string &engine, const std::string &entry)
{
    const backend_server_id backend(engine);
    if (!m_nodes[entry].alive) {
        return;
    }
    for (auto &[name, item] : m_nodes) {
        post(delay() * 10, [this, name = name, backend, entry] {
            view_maker &maker = m_nodes[name].maker;
            maker.owners[backend] = instance_id(entry);
            maker.fencing[backend] = std::max<std::uint64_t>(maker.fencing[backend], 1) + 1;
            toEntry(name, view_changed{ maker.make(m_nodes[name].confirmedAt) });
        });
    }
}

void group_world::at(std::chrono::milliseconds when, std::function<void()> body)
{
    m_queue.push({ testStart + when, m_order++, std::move(body) });
}

void group_world::run(std::chrono::milliseconds until)
{
    while (!m_queue.empty() && m_queue.top().when <= testStart + until) {
        const scheduled next = m_queue.top();
        m_queue.pop();
        m_now = next.when;
        next.body();
    }
    m_now = testStart + until;
}

void group_world::onAction(int number, std::function<void(const group_action &)> body)
{
    m_hooks[number] = std::move(body);
}

token_count group_world::heldTokens()
{
    token_count held = 0;
    for (auto &[name, engine] : m_engines) {
        held += engine.heldTokens(m_now);
        for (auto &[entry, item] : m_nodes) {
            item.table->onTick(m_now);
            held += item.alive ? item.table->heldTokens(backend_server_id(name)) : 0;
        }
    }
    return held;
}

std::string group_world::violations(bool everyAttemptFinishes)
{
    if (heldTokens() != 0) {
        breach(numbered("memory held for good: ", static_cast<std::uint64_t>(heldTokens())));
    }
    for (const auto &[name, item] : m_nodes) {
        if (item.alive && !item.coordinator->idle()) {
            breach(name + " is not idle");
        }
    }
    for (const auto &[name, record] : attempts) {
        if (!record.ended) {
            breach(name + " has no end");
        }
        if (record.accepted > 1) {
            breach(name + " ran twice");
        }
        if (record.failure && record.failure->outcome == verdict::not_run && record.promptSeen != 0) {
            breach(name + " says not run, and an engine saw it");
        }
        if (everyAttemptFinishes && !record.finished) {
            breach(name + " did not finish");
        }
    }
    return m_breaches;
}

void group_world::post(std::chrono::milliseconds delay, std::function<void()> body)
{
    m_queue.push({ m_now + delay, m_order++, std::move(body) });
}

std::chrono::milliseconds group_world::delay()
{
    return m_options.hop + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(m_options.spread.count()) + 1));
}

void group_world::deliver(const std::function<void()> &body)
{
    if (m_random.below(100) < static_cast<std::uint64_t>(m_options.lossPercent)) {
        return;
    }
    post(delay(), body);
    if (m_random.below(100) < static_cast<std::uint64_t>(m_options.duplicatePercent)) {
        post(delay() * 40, body);
    }
}

void group_world::toEntry(const std::string &entry, const group_event &event)
{
    node &item = m_nodes[entry];
    if (!item.alive) {
        return;
    }
    if (item.pausedUntil > m_now) {
        m_queue.push({ item.pausedUntil, m_order++, [this, entry, event] {
                          toEntry(entry, event);
                      } });
        return;
    }
    perform(entry, item.coordinator->handle(event, m_now));
}

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

void group_world::wakeLater(const std::string &entry)
{
    node &item = m_nodes[entry];
    const auto wake = item.coordinator->nextWake();
    if (!wake || std::max(*wake, m_now) >= item.wakeAt) {
        return;
    }
    item.wakeAt = std::max({ *wake, m_now + std::chrono::milliseconds(1), item.pausedUntil });
    m_queue.push({ item.wakeAt, m_order++, [this, entry, when = item.wakeAt] {
                      node &woken = m_nodes[entry];
                      if (!woken.alive || woken.wakeAt != when) {
                          return;
                      }
                      woken.wakeAt = time_point::max();
                      if (woken.pausedUntil <= m_now) {
                          perform(entry, woken.coordinator->onTick(m_now));
                      }
                      wakeLater(entry);
                  } });
}

void group_world::confirmView(const std::string &entry)
{
    node &item = m_nodes[entry];
    if (item.viewLostUntil <= m_now && item.pausedUntil <= m_now) {
        item.confirmedAt = m_now;
    }
    inheritFromDead(item.maker);
    toEntry(entry, view_changed{ item.maker.make(item.confirmedAt) });
    post(confirmInterval, [this, entry] {
        confirmView(entry);
    });
}

void group_world::poll(const std::string &entry)
{
    node &item = m_nodes[entry];
    item.table->onTick(m_now);
    for (const auto &[backend, owner] : item.maker.owners) {
        if (m_options.reconciles && item.alive && owner.str() == entry) {
            const engine_holdings holdings = m_engines.at(backend.str()).holdings(backend, m_now);
            deliver([this, entry, holdings] {
                reconcile(entry, holdings);
            });
        }
    }
    post(pollInterval, [this, entry] {
        poll(entry);
    });
}

void group_world::reconcile(const std::string &entry, const engine_holdings &holdings)
{
    node &item = m_nodes[entry];
    if (!item.alive || item.pausedUntil > m_now) {
        return;
    }
    known_streams streams;
    for (const auto &stream : holdings.report.streams) {
        if (!attempts[stream.attempt.str()].ended) {
            streams[stream.attempt] = m_now;
        }
    }
    for (const reconcile_action &action : item.reconciler->onHoldings(holdings, streams, *item.maker.make(item.confirmedAt), m_now)) {
        if (const auto *orphan = std::get_if<release_orphan_group>(&action)) {
            deliver([this, orphan = *orphan] {
                m_engines.at(orphan.backend.str()).release(orphan.group);
            });
        } else if (const auto *stream = std::get_if<cancel_orphan_stream>(&action)) {
            deliver([this, stream = *stream] {
                m_engines.at(stream.backend.str()).endStream(stream.attempt);
            });
        }
    }
}

result<engine_memory> group_world::memoryAt(const std::string &entry, const backend_server_id &backend, const group_key &key)
{
    node &item = m_nodes[entry];
    if (item.maker.owners[backend] != item.maker.self) {
        return tl::unexpected(testing::failureOf(error_code::not_owner, verdict::not_run));
    }
    const auto free = item.reconciler->freeApartFrom(backend, engineGroupOf(key));
    return engine_memory{ free.value_or(m_options.memoryTokens), item.maker.make(m_now)->backends.at(backend).fencingNumber };
}

void group_world::breach(const std::string &text)
{
    m_breaches += text + "; ";
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
