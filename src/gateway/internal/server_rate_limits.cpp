#include "gateway/server_rate_limits.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr std::chrono::minutes limitMaxAge{ 10 }; // A server that has ended is not heard of again.

// A limit below one request in the window is kept by a longer window.
milliseconds windowFor(double requestsPerSecond)
{
    const milliseconds perRequest(static_cast<std::int64_t>(std::ceil(1'000.0 / requestsPerSecond)));
    return std::max(server_rate_limits::window, perRequest);
}

size_t requestsIn(milliseconds window, double requestsPerSecond)
{
    const double requests = std::chrono::duration<double>(window).count() * requestsPerSecond;
    return std::max<size_t>(static_cast<size_t>(requests), 1);
}

// 0 says that the server names no limit.
bool isPossible(double requestsPerSecond)
{
    return requestsPerSecond == 0.0 || (requestsPerSecond >= minRequestsPerSecond && requestsPerSecond <= maxRequestsPerSecond);
}

void dropBefore(std::deque<time_point> &times, time_point start)
{
    while (!times.empty() && times.front() <= start) {
        times.pop_front();
    }
}

} // namespace

server_rate_limits::server_rate_limits(peer_address self)
    : m_self(self)
{
}

bool server_rate_limits::update(server_start_key server, double requestsPerSecond, time_point heardAt)
{
    const auto known = m_limits.find(server);
    if (known == m_limits.end() && requestsPerSecond <= 0.0) {
        return false;
    }
    named_limit &limit = m_limits[server];
    if (heardAt < limit.heardAt) {
        return false;
    }
    const bool isChanged = limit.requestsPerSecond != requestsPerSecond;
    limit.requestsPerSecond = requestsPerSecond;
    limit.heardAt = heardAt;
    return isChanged;
}

bool server_rate_limits::recordAnswer(server_start_key server, std::optional<double> requestsPerSecond, time_point now)
{
    const bool isChanged = update(server, requestsPerSecond.value_or(0.0), now);
    if (const auto known = m_limits.find(server); known != m_limits.end()) {
        known->second.heardHereAt = now;
    }
    return isChanged;
}

void server_rate_limits::recordSend(server_start_key server, time_point now)
{
    m_ownSends[server].push_back(now);
}

std::vector<time_point> server_rate_limits::knownSends(server_start_key server, time_point now) const
{
    const time_point start = now - windowFor(m_limits.at(server).requestsPerSecond);
    std::vector<time_point> sends;
    const auto addFrom = [&](const auto &times) {
        std::copy_if(times.begin(), times.end(), std::back_inserter(sends), [start](time_point at) {
            return at > start;
        });
    };
    if (const auto own = m_ownSends.find(server); own != m_ownSends.end()) {
        addFrom(own->second);
    }
    for (const auto &[peer, sentTo] : m_peerSends) {
        if (const auto found = sentTo.find(server); found != sentTo.end()) {
            addFrom(found->second);
        }
    }
    std::sort(sends.begin(), sends.end());
    return sends;
}

std::optional<time_point> server_rate_limits::nextSendAt(server_start_key server, size_t contenders, time_point now) const
{
    const auto found = m_limits.find(server);
    if (found == m_limits.end() || found->second.requestsPerSecond <= 0.0) {
        return std::nullopt;
    }
    const milliseconds span = windowFor(found->second.requestsPerSecond);
    const size_t allowed = requestsIn(span, found->second.requestsPerSecond);
    const std::vector<time_point> sends = knownSends(server, now);
    const size_t free = sends.size() < allowed ? allowed - sends.size() : 0;
    time_point freeAt = sends.empty() ? found->second.heardAt : sends.back();
    if (sends.size() >= allowed) {
        freeAt = sends[sends.size() - allowed] + span;
    }
    // The latest send differs from one turn to the next, so that no instance is always the last.
    const auto draw = static_cast<std::uint64_t>(freeAt.time_since_epoch().count()) ^ server;
    const size_t turn = hash64(std::to_string(m_self), draw) % std::max<size_t>(contenders, 1);
    return freeAt + turnDuration * static_cast<int>(turn) / static_cast<int>(std::max<size_t>(free, 1));
}

bool server_rate_limits::isEmpty() const
{
    return m_limits.empty();
}

std::vector<rate_limit_news> server_rate_limits::news(time_point now) const
{
    std::vector<rate_limit_news> news;
    for (const auto &[server, limit] : m_limits) {
        if (!limit.heardHereAt || now - *limit.heardHereAt > newsMaxAge) {
            continue;
        }
        rate_limit_news each{ server, limit.requestsPerSecond, *limit.heardHereAt, {} };
        if (const auto own = m_ownSends.find(server); own != m_ownSends.end()) {
            const auto count = std::min(own->second.size(), maxSendsInNews);
            each.sentAt.assign(own->second.end() - static_cast<std::ptrdiff_t>(count), own->second.end());
        }
        news.push_back(std::move(each));
    }
    return news;
}

server_rate_limits::merged_news server_rate_limits::merge(peer_address from, const std::vector<rate_limit_news> &news)
{
    merged_news merged;
    auto &sends = m_peerSends[from];
    sends.clear();
    for (const rate_limit_news &each : news) {
        if (!isPossible(each.requestsPerSecond)) {
            ++merged.unusable;
            continue;
        }
        if (update(each.server, each.requestsPerSecond, each.heardAt)) {
            merged.changed.push_back(each);
        }
        sends[each.server] = each.sentAt;
    }
    if (sends.empty()) {
        m_peerSends.erase(from);
    }
    return merged;
}

void server_rate_limits::expire(time_point now)
{
    std::erase_if(m_limits, [now](const auto &entry) {
        return now - entry.second.heardAt > limitMaxAge;
    });
    for (auto &[server, sends] : m_ownSends) {
        const auto limit = m_limits.find(server);
        const bool isLimited = limit != m_limits.end() && limit->second.requestsPerSecond > 0.0;
        dropBefore(sends, now - (isLimited ? windowFor(limit->second.requestsPerSecond) : window));
    }
    std::erase_if(m_ownSends, [](const auto &entry) {
        return entry.second.empty();
    });
    for (auto &[peer, sentTo] : m_peerSends) {
        std::erase_if(sentTo, [this](const auto &entry) {
            return !m_limits.contains(entry.first);
        });
    }
    std::erase_if(m_peerSends, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace mustardtrail::gateway
