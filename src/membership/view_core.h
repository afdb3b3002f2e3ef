#pragma once

#include "base/clock.h"
#include "membership/view_actions.h"
#include "membership/view_events.h"
#include "membership/view_settings.h"

#include <memory>
#include <vector>

#include <boost/json/object.hpp>

namespace mustardtrail::membership
{

class view_logic;

/// The whole logic of the view process except orders: configuration, live list, peers, ownership, planned stop.
/// Same events at the same times give the same actions.
class view_core
{
public:
    explicit view_core(const view_settings &settings);
    ~view_core();
    view_core(view_core &&) noexcept;
    view_core &operator=(view_core &&) noexcept;

    std::vector<view_action> handle(const view_event &event, time_point now);
    /// When the next clock_tick is due.
    time_point nextWake() const;
    /// Last published view; null before the first.
    std::shared_ptr<const fleet_view> view() const;
    /// State for operators.
    boost::json::object dump(time_point now) const;

private:
    std::unique_ptr<view_logic> m_logic;
};

} // namespace mustardtrail::membership
