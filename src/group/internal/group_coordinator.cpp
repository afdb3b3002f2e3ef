#include "group/group_coordinator.h"

#include "group/internal/group_run.h"

#include <algorithm>
#include <map>
#include <utility>

namespace mustardtrail::group
{

class group_coordinator::state
{
public:
    state(group_options options, free_tokens_hook freeTokens, random_source random)
        : context{ options, std::move(freeTokens), random, nullptr, {}, {} }
    {
    }

    void on(const start_group &event, time_point now)
    {
        const auto [entry, added] = runs.try_emplace(group_id(event.work.attempt.str()), event, context);
        if (added) {
            entry->second.begin(now);
        }
    }
    void on(const owner_replied &event, time_point now)
    {
        toRun(event.reply.key, event, now);
    }
    void on(const owner_released &event, time_point /*now*/)
    {
        context.releases.on(event);
    }
    void on(const engine_replied &event, time_point now)
    {
        context.releases.on(event);
        toRun(event.key, event, now);
    }
    void on(const completion_delivered &event, time_point now)
    {
        toRun(event.key, event, now);
    }
    void on(const completion_finished &event, time_point now)
    {
        toRun(event.key, event, now);
    }
    void on(const completion_failed &event, time_point now)
    {
        toRun(event.key, event, now);
    }
    void on(const engine_lost &event, time_point now)
    {
        context.releases.on(event);
        for (auto &[id, run] : runs) {
            run.on(event, now);
        }
    }
    void on(const view_changed &event, time_point now)
    {
        context.view = event.view;
        for (auto &[id, run] : runs) {
            run.on(event, now);
        }
    }
    void on(const cancel_group &event, time_point now)
    {
        const auto found = runs.find(group_id(event.attempt.str()));
        if (found != runs.end()) {
            found->second.cancel(now);
        }
    }

    group_actions finish(time_point now)
    {
        std::erase_if(runs, [](const auto &entry) {
            return entry.second.ended();
        });
        context.releases.onTick(context.options, now, context.actions);
        return std::exchange(context.actions, {});
    }

    run_context context;
    std::map<group_id, group_run> runs;

private:
    template<typename event> void toRun(const group_key &key, const event &value, time_point now)
    {
        const auto found = runs.find(key.group);
        // Replies to an earlier generation come late and say nothing about this one.
        if (found != runs.end() && found->second.key() == key) {
            found->second.on(value, now);
        }
    }
};

group_coordinator::group_coordinator(group_options options, free_tokens_hook freeTokens, random_source random)
    : m_state(std::make_unique<state>(options, std::move(freeTokens), random))
{
}

group_coordinator::~group_coordinator() = default;
group_coordinator::group_coordinator(group_coordinator &&) noexcept = default;

group_actions group_coordinator::handle(const group_event &event, time_point now)
{
    // A process that slept may hold leases that ended; they are looked at before the event is believed.
    for (auto &[id, run] : m_state->runs) {
        run.onTick(now);
    }
    std::visit(
        [&](const auto &value) {
            m_state->on(value, now);
        },
        event);
    return m_state->finish(now);
}

group_actions group_coordinator::onTick(time_point now)
{
    for (auto &[id, run] : m_state->runs) {
        run.onTick(now);
    }
    return m_state->finish(now);
}

std::optional<time_point> group_coordinator::nextWake() const
{
    std::optional<time_point> earliest = m_state->context.releases.nextWake();
    for (const auto &[id, run] : m_state->runs) {
        earliest = earliest ? std::min(*earliest, run.nextWake()) : run.nextWake();
    }
    return earliest;
}

bool group_coordinator::maySend(const engine_call &call, time_point now) const
{
    const auto found = m_state->runs.find(call.key.group);
    return found != m_state->runs.end() && found->second.key() == call.key && now < call.notAfter;
}

bool group_coordinator::idle() const
{
    return m_state->runs.empty() && m_state->context.releases.empty();
}

boost::json::value group_coordinator::dump(time_point now) const
{
    boost::json::array runs;
    for (const auto &[id, run] : m_state->runs) {
        runs.emplace_back(run.dump(now));
    }
    return boost::json::object{ { "groups", std::move(runs) }, { "releases", m_state->context.releases.dump() } };
}

} // namespace mustardtrail::group
