#pragma once

#include "membership/fleet_view.h"

#include <optional>

namespace mustardtrail::membership
{

/// Whom the entry process asks for its view of the fleet.
struct view_question {
    endpoint to;
    std::optional<instance_id> lender; ///< Another instance whose view is borrowed; nothing: the view of this instance.
};

/// Chooses the view process that an entry process follows: its own, and that of another instance while its own is silent.
class view_source
{
public:
    view_source(instance_id self, data_centre_id selfDataCentre, endpoint own);

    /// The next question; `known` is the view in use.
    view_question next(const fleet_view &known, time_point now);
    void noteAnswer(const view_question &question, bool isGood, time_point now);
    /// The view of a lender as this instance may use it: it counts as leaving, so it sends no new
    /// work as an owner and is no home of keys.
    fleet_view borrowed(const fleet_view &lent, const peer &lender) const;
    /// The lender as the view in use knows it.
    std::optional<peer> lenderOf(const view_question &question, const fleet_view &known) const;

private:
    std::optional<peer> chooseLender(const fleet_view &known) const;

    instance_id m_self;
    data_centre_id m_selfDataCentre;
    endpoint m_own;
    bool m_ownAnswers = true;
    time_point m_ownAskedAt{};
    std::optional<instance_id> m_lender;
    std::optional<instance_id> m_lastFailed;
};

} // namespace mustardtrail::membership
