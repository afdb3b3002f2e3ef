#include "placement/router.h"

#include "placement/internal/router_impl.h"

namespace mustardtrail::placement
{

router::router(placement_options options)
    : m_impl(std::make_unique<implementation>(options))
{
}

router::~router() = default;

void router::onView(std::shared_ptr<const membership::fleet_view> view, time_point now)
{
    m_impl->onView(std::move(view), now);
}

void router::onSummary(const owner_summary &summary, time_point)
{
    m_impl->onSummary(summary);
}

result<route> router::pick(const work_item &work, const route_exclusions &excluded, time_point now)
{
    return m_impl->pick(work, excluded, now);
}

boost::json::value router::dump(time_point now) const
{
    return m_impl->dump(now);
}

} // namespace mustardtrail::placement
