#include "gateway/fleet_state.h"

#include <algorithm>
#include <string>

namespace mustardtrail::gateway
{

namespace
{

std::string_view eventFor(double requestsPerSecond)
{
    return requestsPerSecond > 0.0 ? "server_named_limit" : "server_limit_ended";
}

std::string detailOf(double requestsPerSecond, const std::string &source)
{
    return "per_second=" + std::to_string(requestsPerSecond) + " source=" + source;
}

} // namespace

void fleet_state::recordRateLimit(server_key server, server_start_key start, std::optional<double> requestsPerSecond, time_point now)
{
    const auto *known = findServer(server);
    if (known && rateLimits.recordAnswer(start, requestsPerSecond, now)) {
        const double limit = requestsPerSecond.value_or(0.0);
        m_log(eventFor(limit), known->entry.id.str(), detailOf(limit, "answer"));
    }
}

void fleet_state::recordRateLimits(peer_address from, const std::vector<rate_limit_news> &news)
{
    const server_rate_limits::merged_news merged = rateLimits.merge(from, news);
    for (const rate_limit_news &each : merged.changed) {
        const auto named = std::find_if(m_idByKey.begin(), m_idByKey.end(), [&](const auto &entry) {
            const auto *known = servers.find(entry.second);
            return known && startKeyOf(known->entry) == each.server;
        });
        const std::string subject = named == m_idByKey.end() ? std::to_string(each.server) : named->second.str();
        m_log(eventFor(each.requestsPerSecond), subject, detailOf(each.requestsPerSecond, "instance " + std::to_string(from)));
    }
    if (merged.unusable > 0) {
        m_log("rate_limits_ignored", std::to_string(from), "entries=" + std::to_string(merged.unusable));
    }
}

bool fleet_state::isAtRateLimit(const server_directory::known_server &server, time_point now) const
{
    if (rateLimits.isEmpty()) {
        return false;
    }
    const auto nextSendAt = rateLimits.nextSendAt(startKeyOf(server.entry), loads.busyInstances(), now);
    if (!nextSendAt) {
        return false;
    }
    // Instances of other cells do not hear of each other's sends, so only the server's own cell sends there.
    const bool isOfOwnCell = peers.cells().cellOfServer(keyOf(server.entry.id), server.entry.dataCentre) == peers.ownCell();
    return !isOfOwnCell || now < *nextSendAt;
}

std::optional<time_point> fleet_state::atLimitUntil(const service_id &service, time_point now) const
{
    std::optional<time_point> first;
    for (const server_directory::known_server *server : eligible(service, now)) {
        const auto nextSendAt = rateLimits.nextSendAt(startKeyOf(server->entry), loads.busyInstances(), now);
        if (!nextSendAt || *nextSendAt <= now) {
            return std::nullopt;
        }
        first = std::min(first.value_or(*nextSendAt), *nextSendAt);
    }
    return first;
}

} // namespace mustardtrail::gateway
