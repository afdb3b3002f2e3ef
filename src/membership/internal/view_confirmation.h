#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "membership/confirmation_settings.h"

#include <optional>
#include <set>

namespace mustardtrail::membership
{

/// Decides until when the view counts as confirmed, and whether this node is isolated.
class view_confirmation
{
public:
    explicit view_confirmation(const confirmation_settings &settings);

    /// Time passes. Returns the length of a pause when the process slept longer than the bound.
    std::optional<std::chrono::nanoseconds> tick(time_point now);
    void acked(const instance_id &peer, time_point sentAt, time_point now);

    /// `listedPeers`: others that the list calls live; `answering`: others held for alive; `upToDate`: configuration
    /// and list were read again, as far as a refresh asks for it. Returns true when isolation has just ended.
    bool update(size_t listedPeers, size_t answering, bool upToDate, time_point now);

    time_point confirmedAt() const;
    bool isIsolated() const;
    bool isRefreshing() const;
    time_point refreshingSince() const;

private:
    bool hasEnoughAcks(size_t answering, time_point now) const;

    confirmation_settings m_settings;
    std::optional<time_point> m_lastTick;
    time_point m_confirmedAt{};
    time_point m_lastAckSent{}; ///< When the newest answered probe was sent.
    time_point m_lastContact{};
    time_point m_refreshFrom{};
    std::set<instance_id> m_acksSinceRefresh;
    bool m_refreshing = true;
    bool m_isolated = false;
};

} // namespace mustardtrail::membership
