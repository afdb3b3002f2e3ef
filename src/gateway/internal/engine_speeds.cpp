#include "gateway/engine_speeds.h"

#include <algorithm>
#include <cmath>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;

constexpr size_t keptRatios = 3; // Of one engine; the smallest counts, so that one late first event changes nothing.
// A single ratio counts only from here: an instance sends to one engine every few seconds and seldom has a second one in time.
constexpr double singleRatioFrom = 3.0;
constexpr size_t maxRecentRatios = 31; // Of all engines; some seconds of one instance's sends.
// With fewer ratios an instance that is itself slow cannot be told from a slow engine.
constexpr size_t minRecentRatios = 5;
constexpr size_t maxPendingSends = 256; // At one engine; many times its slots.

double seconds(microseconds value)
{
    return std::chrono::duration<double>(value).count();
}

template<typename sends_list> auto findSend(sends_list &sends, std::uint64_t id)
{
    return std::find_if(sends.begin(), sends.end(), [id](const auto &each) {
        return each.id == id;
    });
}

} // namespace

bool engine_speeds::hasPaused(time_point now) const
{
    return m_ranAt && now - *m_ranAt > longestPause;
}

void engine_speeds::recordRunning(time_point now)
{
    if (hasPaused(now)) {
        for (auto &[server, known] : m_engines) {
            known.sends.clear();
        }
    }
    m_ranAt = now;
}

bool engine_speeds::recordPace(server_start_key server, double pace, time_point now)
{
    if (!std::isfinite(pace) || pace <= 0.0) {
        return false;
    }
    m_engines[server].pace = observation{ std::clamp(pace, 1.0, maxSlowness), now };
    return true;
}

void engine_speeds::recordSend(server_start_key server, std::uint64_t send, microseconds predicted, time_point now)
{
    engine &known = m_engines[server];
    if (predicted.count() > 0 && known.sends.size() < maxPendingSends) {
        known.sends.push_back({ send, predicted, now });
    }
}

std::optional<double> engine_speeds::recordAnswer(server_start_key server, std::uint64_t send, microseconds explained, time_point now)
{
    const auto known = m_engines.find(server);
    if (known == m_engines.end()) {
        return std::nullopt;
    }
    auto &sends = known->second.sends;
    const auto found = findSend(sends, send);
    if (found == sends.end()) {
        return std::nullopt;
    }
    const pending_send answered = *found;
    sends.erase(found);
    if (hasPaused(now)) {
        return std::nullopt;
    }
    known->second.silence.reset();
    known->second.lastAnsweredSendAt = std::max(known->second.lastAnsweredSendAt.value_or(answered.sentAt), answered.sentAt);
    const auto actual = std::chrono::duration_cast<microseconds>(now - answered.sentAt);
    recordFirstEvent(server, std::max(explained, answered.predicted), actual, now);
    return seconds(actual) / seconds(answered.predicted);
}

std::optional<time_point> engine_speeds::sentAt(server_start_key server, std::uint64_t send) const
{
    const auto known = m_engines.find(server);
    if (known == m_engines.end()) {
        return std::nullopt;
    }
    const auto found = findSend(known->second.sends, send);
    return found == known->second.sends.end() ? std::nullopt : std::optional(found->sentAt);
}

// A send that ended while the engine was silent would otherwise leave no trace.
void engine_speeds::endSend(server_start_key server, std::uint64_t send, time_point now)
{
    const auto known = m_engines.find(server);
    if (known == m_engines.end()) {
        return;
    }
    auto &sends = known->second.sends;
    const auto found = findSend(sends, send);
    if (found == sends.end()) {
        return;
    }
    if (const auto silent = silenceOf(known->second, *found, now)) {
        known->second.silence = silent;
    }
    sends.erase(found);
}

void engine_speeds::recordFirstEvent(server_start_key server, microseconds predicted, microseconds actual, time_point now)
{
    if (predicted.count() <= 0 || actual.count() <= 0) {
        return;
    }
    const double ratio = std::clamp(seconds(actual) / seconds(predicted), 1.0, maxSlowness);
    engine &known = m_engines[server];
    auto &ratios = known.ratios;
    ratios.push_back({ ratio, now });
    if (ratios.size() > keptRatios) {
        ratios.pop_front();
    }
    m_recentRatios.push_back(ratio);
    if (m_recentRatios.size() > maxRecentRatios) {
        m_recentRatios.pop_front();
    }
    updateUsualRatio();
    known.late = fromRatios(known, now);
}

// The median over all engines: above 1 where the forecast is too low for this service, or this instance itself is slow.
void engine_speeds::updateUsualRatio()
{
    std::vector<double> sorted(m_recentRatios.begin(), m_recentRatios.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    m_usualRatio = *middle;
}

std::optional<engine_speeds::observation> engine_speeds::fromRatios(const engine &known, time_point now) const
{
    if (m_recentRatios.size() < minRecentRatios) {
        return std::nullopt;
    }
    std::optional<observation> smallest;
    size_t count = 0;
    for (const observation &each : known.ratios) {
        if (now - each.at > ownExpiry) {
            continue;
        }
        ++count;
        smallest = observation{ smallest ? std::min(smallest->slowness, each.slowness) : each.slowness, each.at };
    }
    if (!smallest) {
        return std::nullopt;
    }
    smallest->slowness /= m_usualRatio;
    return count > 1 || smallest->slowness > singleRatioFrom ? smallest : std::nullopt;
}

// An engine that answered a later send works; then this send was lost.
std::optional<engine_speeds::observation> engine_speeds::silenceOf(const engine &known, const pending_send &send, time_point now) const
{
    const auto age = std::chrono::duration_cast<microseconds>(now - send.sentAt);
    if (hasPaused(now) || age <= 2 * send.predicted + silenceMargin
        || (known.lastAnsweredSendAt && send.sentAt <= *known.lastAnsweredSendAt)) {
        return std::nullopt;
    }
    return observation{ std::min(seconds(age) / seconds(send.predicted) / m_usualRatio, maxSlowness), now };
}

bool engine_speeds::isLate(const engine &known, time_point now)
{
    return known.late && known.late->slowness > slowFrom && now - known.late->at <= ownExpiry;
}

bool engine_speeds::isPaceNewer(const engine &known, const observation &than)
{
    return known.pace && known.pace->at >= than.at;
}

std::optional<engine_speeds::observation> engine_speeds::measured(const engine &known, time_point now) const
{
    std::optional<observation> slowest = isLate(known, now) ? known.late : std::nullopt;
    const bool hasPace = known.pace && now - known.pace->at <= ownExpiry;
    // The engine itself knows its pace best; late first events are only a reason to ask.
    if (hasPace && (!slowest || known.pace->slowness > slowest->slowness || isPaceNewer(known, *slowest))) {
        slowest = known.pace;
    }
    return slowest && slowest->slowness > slowFrom ? slowest : std::nullopt;
}

std::optional<engine_speeds::observation> engine_speeds::silence(const engine &known, time_point now) const
{
    std::optional<observation> longest;
    if (known.silence && now - known.silence->at <= ownExpiry) {
        longest = known.silence;
    }
    for (const pending_send &each : known.sends) {
        const auto silent = silenceOf(known, each, now);
        if (silent && (!longest || silent->slowness > longest->slowness)) {
            longest = silent;
        }
    }
    return longest && longest->slowness > slowFrom ? longest : std::nullopt;
}

size_t engine_speeds::merge(peer_address from, const std::vector<slow_server_news> &news, time_point now)
{
    for (auto &[server, known] : m_engines) {
        known.peers.erase(from);
    }
    size_t unusable = 0;
    size_t used = 0;
    for (const slow_server_news &each : news) {
        const bool isUsable = each.server != 0 && std::isfinite(each.slowness) && each.slowness >= slowFrom;
        if (!isUsable || used == maxNews) {
            ++unusable;
            continue;
        }
        ++used;
        if (now - each.heardAt <= peerExpiry) {
            m_engines[each.server].peers[from] = { std::min(each.slowness, maxSlowness), each.heardAt };
        }
    }
    return unusable;
}

bool engine_speeds::isUnconfirmed(server_start_key server, time_point now) const
{
    const auto found = m_engines.find(server);
    if (found == m_engines.end()) {
        return false;
    }
    const engine &known = found->second;
    return isLate(known, now) && !isPaceNewer(known, *known.late);
}

double engine_speeds::slownessOf(server_start_key server, time_point now, bool isFull) const
{
    const auto found = m_engines.find(server);
    if (found == m_engines.end()) {
        return 1.0;
    }
    double slowness = 1.0;
    const auto silent = isFull ? std::nullopt : silence(found->second, now);
    for (const auto &own : { measured(found->second, now), silent }) {
        slowness = own ? std::max(slowness, own->slowness) : slowness;
    }
    for (const auto &[peer, heard] : found->second.peers) {
        if (now - heard.at <= peerExpiry) {
            slowness = std::max(slowness, heard.slowness);
        }
    }
    return slowness;
}

std::vector<slow_server_news> engine_speeds::news(time_point now) const
{
    std::vector<slow_server_news> slow;
    for (const auto &[server, known] : m_engines) {
        const auto own = measured(known, now);
        if (own && now - own->at <= peerExpiry) {
            slow.push_back({ server, own->slowness, own->at });
        }
    }
    std::sort(slow.begin(), slow.end(), [](const slow_server_news &left, const slow_server_news &right) {
        return left.slowness > right.slowness;
    });
    slow.resize(std::min(slow.size(), maxNews));
    return slow;
}

void engine_speeds::expire(time_point now)
{
    for (auto &[server, known] : m_engines) {
        if (known.pace && now - known.pace->at > ownExpiry) {
            known.pace.reset();
        }
        std::erase_if(known.ratios, [now](const observation &each) {
            return now - each.at > ownExpiry;
        });
        if (known.late && now - known.late->at > ownExpiry) {
            known.late.reset();
        }
        if (known.silence && now - known.silence->at > ownExpiry) {
            known.silence.reset();
        }
        std::erase_if(known.peers, [now](const auto &each) {
            return now - each.second.at > peerExpiry;
        });
    }
    std::erase_if(m_engines, [](const auto &entry) {
        const engine &known = entry.second;
        return !known.pace && known.ratios.empty() && known.sends.empty() && !known.silence && known.peers.empty();
    });
}

} // namespace mustardtrail::gateway
