#include "membership/view_core.h"

#include "membership/internal/view_logic.h"

namespace mustardtrail::membership
{

view_core::view_core(const view_settings &settings)
    : m_logic(std::make_unique<view_logic>(settings))
{
}

view_core::~view_core() = default;
view_core::view_core(view_core &&) noexcept = default;
view_core &view_core::operator=(view_core &&) noexcept = default;

std::vector<view_action> view_core::handle(const view_event &event, time_point now)
{
    return m_logic->handle(event, now);
}

time_point view_core::nextWake() const
{
    return m_logic->nextWake();
}

std::shared_ptr<const fleet_view> view_core::view() const
{
    return m_logic->view();
}

boost::json::object view_core::dump(time_point now) const
{
    return m_logic->dump(now);
}

} // namespace mustardtrail::membership
