#include "standin/platform/platform_model.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace mustardtrail::standin
{

namespace json = boost::json;

namespace
{

constexpr std::array<std::pair<const char *, platform_model::config_mode>, 7> modes{ {
    { "up", platform_model::config_mode::up },
    { "down", platform_model::config_mode::down },
    { "stale", platform_model::config_mode::stale },
    { "slow", platform_model::config_mode::slow },
    { "garbage", platform_model::config_mode::garbage },
    { "half", platform_model::config_mode::half },
    { "older", platform_model::config_mode::older },
} };

constexpr size_t keptLiveStates = 1'000;

} // namespace

void platform_model::set(const std::string &key, json::value value)
{
    m_values[key].push_back({ ++m_revision, std::move(value) });
}

void platform_model::setLive(const std::string &id, json::object entry, time_point now)
{
    entry["id"] = id;
    m_live[id] = std::move(entry);
    m_liveHistory.push_back({ now, m_live });
    if (m_liveHistory.size() > keptLiveStates) {
        m_liveHistory.pop_front();
    }
}

void platform_model::removeLive(const std::string &id, time_point now)
{
    m_live.erase(id);
    m_liveHistory.push_back({ now, m_live });
}

bool platform_model::setMode(const std::string &name)
{
    const auto found = std::find_if(modes.begin(), modes.end(), [&](const auto &entry) {
        return name == entry.first;
    });
    if (found == modes.end()) {
        return false;
    }
    mode = found->second;
    m_frozenRevision = m_revision;
    return true;
}

std::int64_t platform_model::visibleRevision() const
{
    switch (mode) {
    case config_mode::stale:
        return m_frozenRevision;
    case config_mode::older:
        return std::min<std::int64_t>(m_revision, 1);
    default:
        return m_revision;
    }
}

bool platform_model::countRead(time_point now)
{
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_readsThisSecond = 0;
    }
    ++m_reads;
    ++m_readsThisSecond;
    m_mostReadsInASecond = std::max(m_mostReadsInASecond, m_readsThisSecond);
    if (m_readsThisSecond > readsPerSecond) {
        ++m_refused;
        return false;
    }
    return true;
}

std::string platform_model::configText(std::int64_t after) const
{
    if (mode == config_mode::garbage) {
        return "{\"revision\":99999999,\"entries\":[{\"key\":\"classes\",\"revision\":99999999,\"value\":7}]}";
    }
    const std::int64_t visible = visibleRevision();
    json::array entries;
    for (const auto &[key, history] : m_values) {
        const auto newest = std::find_if(history.rbegin(), history.rend(), [&](const config_value &value) {
            return value.revision <= visible;
        });
        if (newest != history.rend() && newest->revision > after) {
            entries.push_back(json::object{ { "key", key }, { "revision", newest->revision }, { "value", newest->value } });
        }
    }
    const std::string text = json::serialize(json::object{ { "revision", visible }, { "entries", std::move(entries) } });
    return mode == config_mode::half ? text.substr(0, text.size() / 2) : text;
}

bool platform_model::hasChangeAfter(std::int64_t after) const
{
    return visibleRevision() > after;
}

json::object platform_model::liveAnswer(time_point now) const
{
    json::array entries;
    const auto visible = std::find_if(m_liveHistory.rbegin(), m_liveHistory.rend(), [&](const live_state &state) {
        return now - state.at >= liveLag;
    });
    if (visible != m_liveHistory.rend()) {
        for (const auto &entry : visible->entries) {
            entries.push_back(entry.value());
        }
    }
    return { { "entries", std::move(entries) } };
}

json::object platform_model::counters() const
{
    return { { "revision", m_revision },
        { "reads", m_reads },
        { "refused", m_refused },
        { "most_reads_in_a_second", m_mostReadsInASecond },
        { "open_watches", openWatches } };
}

bool platform_model::takeWeights(std::int64_t bytes, time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_weightsAt).count();
    const auto rate = static_cast<double>(weightBytesPerSecond);
    m_weightBytes = std::min(rate, m_weightBytes + elapsed * rate);
    m_weightsAt = now;
    if (static_cast<double>(bytes) > m_weightBytes) {
        return false;
    }
    m_weightBytes -= static_cast<double>(bytes);
    return true;
}

} // namespace mustardtrail::standin
