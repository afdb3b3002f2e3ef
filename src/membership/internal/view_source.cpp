#include "membership/view_source.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

// A question to a silent view lasts as long as its time limit; asked once a second it leaves the lease of the borrowed
// view intact.

namespace mustardtrail::membership
{

namespace
{
constexpr std::chrono::milliseconds ownRetryInterval{ 1'000 };
}

view_source::view_source(instance_id self, data_centre_id selfDataCentre, endpoint own)
    : m_self(std::move(self))
    , m_selfDataCentre(std::move(selfDataCentre))
    , m_own(std::move(own))
{
}

view_question view_source::next(const fleet_view &known, time_point now)
{
    const bool ownIsDue = m_ownAnswers || now - m_ownAskedAt >= ownRetryInterval;
    const auto lender = ownIsDue ? std::nullopt : chooseLender(known);
    if (!lender) {
        m_ownAskedAt = now;
        return { m_own, std::nullopt };
    }
    return { lender->heartbeats, lender->id };
}

void view_source::noteAnswer(const view_question &question, bool isGood, time_point now)
{
    if (!question.lender) {
        m_ownAnswers = isGood;
        m_ownAskedAt = now;
        return;
    }
    m_lender = isGood ? question.lender : std::nullopt;
    m_lastFailed = isGood ? std::nullopt : question.lender;
}

std::optional<peer> view_source::lenderOf(const view_question &question, const fleet_view &known) const
{
    const auto found = question.lender ? known.peers.find(*question.lender) : known.peers.end();
    return found == known.peers.end() ? std::nullopt : std::optional(found->second);
}

// One lender is kept while it answers. Otherwise the nearest one, by a rank of this instance's own, so that the instances
// of a rack whose views stop together do not all turn to one view.
std::optional<peer> view_source::chooseLender(const fleet_view &known) const
{
    const auto rank = [this](const peer &candidate) {
        return std::tuple(m_lender != candidate.id,
            m_lastFailed == candidate.id,
            candidate.dataCentre != m_selfDataCentre,
            hash64(candidate.id.str(), hash64(m_self.str())));
    };
    std::optional<peer> best;
    for (const auto &[id, candidate] : known.peers) {
        const bool isUsable = candidate.state == peer_state::alive || candidate.state == peer_state::suspect;
        if (isUsable && (!best || rank(candidate) < rank(*best))) {
            best = candidate;
        }
    }
    return best;
}

// The others declare this instance dead for want of its heartbeats and move what it owned; it gives that up at once, as an
// instance that leaves does.
fleet_view view_source::borrowed(const fleet_view &lent, const peer &lender) const
{
    fleet_view view = lent;
    view.self = m_self;
    view.selfDataCentre = m_selfDataCentre;
    view.selfLeaving = true;
    view.peers.erase(m_self);
    view.peers.emplace(lender.id, lender);
    return view;
}

} // namespace mustardtrail::membership
