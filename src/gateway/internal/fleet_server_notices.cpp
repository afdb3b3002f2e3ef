#include "gateway/fleet_state.h"

#include "base/hash.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::seconds departedReportTime{ 10 }; // Longer than most instances are away from the store.
constexpr std::chrono::seconds leavingReportTime{ 3 }; // Several reports; then the store's entry shows it too.

} // namespace

void fleet_state::recordLeaving(server_key server, server_start_key start, time_point now)
{
    const auto *known = findServer(server);
    if (known && startKeyOf(known->entry) == start && servers.recordLeaving(known->entry.id, now)) {
        m_log("server_announced_leaving", known->entry.id.str(), "source=answer");
    }
}

void fleet_state::recordLeavingServers(const std::vector<leaving_server_news> &leaving, const instance_id &source, time_point now)
{
    if (leaving.empty()) {
        return;
    }
    for (const server_directory::known_server *server : servers.staying()) {
        const backend_server_id id = server->entry.id;
        const auto named = std::find_if(leaving.begin(), leaving.end(), [key = startKeyOf(server->entry)](const auto &news) {
            return news.server == key;
        });
        if (named != leaving.end() && servers.recordLeavingElsewhere(id, named->since, now)) {
            m_log("server_announced_leaving", id.str(), "source=" + source.str());
        }
    }
}

void fleet_state::recordDepartedServers(const std::vector<server_start_key> &departed, const instance_id &source, time_point now)
{
    for (const server_directory::known_server *server : servers.kept()) {
        const backend_server_id id = server->entry.id;
        const bool isNamed = std::find(departed.begin(), departed.end(), startKeyOf(server->entry)) != departed.end();
        if (isNamed && servers.removeKept(id, now)) {
            m_log("server_removed", id.str(), "reason=seen_by_" + source.str());
        }
    }
}

std::vector<server_start_key> fleet_state::departedServers(time_point now) const
{
    std::vector<server_start_key> keys;
    for (const auto &[id, startedAt] : servers.departed(departedReportTime, now)) {
        keys.push_back(hash64(id.str(), startedAt));
    }
    return keys;
}

void fleet_state::recordQuiet(server_key server, server_start_key start, std::chrono::milliseconds duration, time_point now)
{
    quiet.record(start, now + duration);
    if (const auto *known = findServer(server)) {
        m_log("server_asked_for_quiet", known->entry.id.str(), "ms=" + std::to_string(duration.count()));
    }
}

std::optional<time_point> fleet_state::quietUntil(const service_id &service, time_point now) const
{
    std::optional<time_point> first;
    for (const server_directory::known_server *server : servers.usable(service, now)) {
        const server_start_key key = startKeyOf(server->entry);
        if (!quiet.isQuiet(key, now)) {
            return std::nullopt;
        }
        first = std::min(first.value_or(quiet.until(key)), quiet.until(key));
    }
    return first;
}

std::vector<leaving_server_news> fleet_state::leavingServers(time_point now) const
{
    std::vector<leaving_server_news> news;
    for (const server_directory::known_server *server : servers.leaving(leavingReportTime, now)) {
        news.push_back({ startKeyOf(server->entry), server->leavingSince });
    }
    return news;
}

} // namespace mustardtrail::gateway
