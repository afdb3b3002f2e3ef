#include "gateway/fleet_state.h"

#include <algorithm>
#include <string>

namespace mustardtrail::gateway
{

namespace
{

// Work that was sent this long before a send may be in the same pass and may have been reported only after it.
constexpr std::chrono::milliseconds sharedPassTime{ 150 };

} // namespace

void fleet_state::recordPace(server_key server, server_start_key start, double pace, time_point now)
{
    const auto *known = findServer(server);
    if (!known) {
        return;
    }
    const bool wasSlow = speeds.slownessOf(start, now) > 1.0;
    if (!speeds.recordPace(start, pace, now)) {
        m_log("engine_pace_ignored", known->entry.id.str(), "pace=" + std::to_string(pace));
        return;
    }
    if (!wasSlow && speeds.slownessOf(start, now) > 1.0) {
        m_log("engine_slow", known->entry.id.str(), "source=pace slowness=" + std::to_string(pace));
    }
}

std::optional<double> fleet_state::recordFirstEvent(
    server_key server, server_start_key start, std::uint64_t send, const engine_forecast &forecast, time_point now)
{
    const bool wasSlow = speeds.slownessOf(start, now) > 1.0;
    // The work of others that became known since then explains a part of the time; the engine is not slow because of it.
    std::chrono::microseconds explained = forecast.published;
    if (const auto sentAt = speeds.sentAt(start, send)) {
        const auto own = forecast.published - forecast.publishedOthers;
        explained = own + loads.prefillSentSince(server, *sentAt - sharedPassTime, send);
    }
    const auto ratio = speeds.recordAnswer(start, send, explained, now);
    const auto *known = findServer(server);
    if (known && !wasSlow && speeds.slownessOf(start, now) > 1.0) {
        m_log("engine_slow", known->entry.id.str(), "source=first_event slowness=" + std::to_string(speeds.slownessOf(start, now)));
    }
    return ratio;
}

void fleet_state::recordSlowServers(peer_address from, const std::vector<slow_server_news> &news, time_point now)
{
    if (const size_t unusable = speeds.merge(from, news, now); unusable > 0) {
        m_log("slow_servers_ignored", std::to_string(from), "entries=" + std::to_string(unusable));
    }
}

} // namespace mustardtrail::gateway
