#include "placement/owner_scheduler.h"

#include "placement/internal/owner_scheduler_impl.h"

namespace mustardtrail::placement
{

owner_scheduler::owner_scheduler(placement_options options)
    : m_impl(std::make_unique<implementation>(options))
{
}

owner_scheduler::~owner_scheduler() = default;

owner_action_list owner_scheduler::setView(std::shared_ptr<const membership::fleet_view> view, time_point now)
{
    m_impl->setView(std::move(view), now);
    return m_impl->takeActions();
}

owner_action_list owner_scheduler::admit(const work_item &work, const std::vector<backend_server_id> &excluded, time_point now)
{
    m_impl->admit(work, excluded, now);
    return m_impl->takeActions();
}

owner_action_list owner_scheduler::cancel(const attempt_id &attempt, time_point now)
{
    m_impl->cancel(attempt, now);
    return m_impl->takeActions();
}

owner_action_list owner_scheduler::onAccepted(const attempt_id &, time_point)
{
    return {};
}

owner_action_list owner_scheduler::onFirstToken(const attempt_id &attempt, time_point now)
{
    m_impl->firstToken(attempt, now);
    return m_impl->takeActions();
}

owner_action_list owner_scheduler::onOutput(const attempt_id &attempt, token_count tokens, time_point now)
{
    m_impl->firstToken(attempt, now);
    m_impl->output(attempt, tokens);
    return m_impl->takeActions();
}

owner_action_list owner_scheduler::onFinished(const attempt_id &attempt, time_point now)
{
    m_impl->end(attempt, std::nullopt, now);
    return m_impl->takeActions();
}

owner_action_list owner_scheduler::onFailed(const attempt_id &attempt, const error &failure, time_point now)
{
    const bool callerGone = failure.code == error_code::caller_gone;
    m_impl->end(attempt, callerGone ? std::optional<reset_reason>{} : reset_reason::failed_attempt, now);
    return m_impl->takeActions();
}

owner_action_list owner_scheduler::onReport(const engine_report &report, time_point now)
{
    m_impl->report(report, now);
    return m_impl->takeActions();
}

owner_action_list owner_scheduler::onCacheEvent(const backend_server_id &backend, const cache_event &event, time_point now)
{
    m_impl->cacheEvent(backend, event, now);
    return m_impl->takeActions();
}

owner_action_list owner_scheduler::onTick(time_point now)
{
    m_impl->tick(now);
    return m_impl->takeActions();
}

std::optional<time_point> owner_scheduler::nextWake(time_point now) const
{
    return m_impl->nextWake(now);
}

bool owner_scheduler::holdMemory(
    const std::string &group, const backend_server_id &backend, token_count tokens, time_point until, time_point now)
{
    return m_impl->holdMemory(group, backend, tokens, until, now);
}

owner_action_list owner_scheduler::releaseMemory(const std::string &group, time_point now)
{
    m_impl->releaseMemory(group, now);
    return m_impl->takeActions();
}

owner_summary owner_scheduler::summary(time_point now) const
{
    return m_impl->summary(now);
}

owner_summary owner_scheduler::summary(const pool_key &pool, time_point now) const
{
    return m_impl->summary(pool, now);
}

boost::json::value owner_scheduler::dump(time_point now) const
{
    return m_impl->dump(now);
}

} // namespace mustardtrail::placement
