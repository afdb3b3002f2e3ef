#include "group/tests/support/group_world.h"

#include <algorithm>

namespace mustardtrail::group::testing
{

namespace
{

constexpr token_count answerTokens = 20;
constexpr std::chrono::milliseconds pollInterval{ 1000 };
constexpr std::chrono::milliseconds deathNoticedAfter{ 2000 };

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
        return tl::unexpected(error{ error_code::not_owner, verdict::not_run, "world", std::nullopt });
    }
    const auto free = item.reconciler->freeApartFrom(backend, engineGroupOf(key));
    return engine_memory{ free.value_or(m_options.memoryTokens), item.maker.make(m_now)->backends.at(backend).fencingNumber };
}

void group_world::breach(const std::string &text)
{
    m_breaches += text + "; ";
}

} // namespace mustardtrail::group::testing
