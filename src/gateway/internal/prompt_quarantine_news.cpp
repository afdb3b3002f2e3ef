#include "gateway/prompt_quarantine.h"

#include <algorithm>

namespace mustardtrail::gateway
{

using std::chrono::milliseconds;

namespace
{

template<typename event> void keepLatest(std::vector<event> &events, size_t count)
{
    if (events.size() <= count) {
        return;
    }
    const auto isLater = [](const event &left, const event &right) {
        return left.at > right.at;
    };
    std::nth_element(events.begin(), events.begin() + static_cast<std::ptrdiff_t>(count), events.end(), isLater);
    events.resize(count);
}

} // namespace

quarantine_news prompt_quarantine::news(milliseconds maxAge, time_point now) const
{
    quarantine_news news;
    for (const auto &[server, record] : m_crashes) {
        if (now - record.changedAt <= maxAge) {
            news.crashes.push_back(record.evidence);
        }
    }
    keepLatest(news.crashes, maxCrashesInNews);
    for (const auto &[part, record] : m_written) {
        if (now - record.changedAt <= maxAge) {
            news.written.push_back({ part, record.at });
        }
    }
    keepLatest(news.written, maxWrittenInNews);
    for (const auto &[part, record] : m_quarantined) {
        if (maxAge >= newsMaxAge || now - record.changedAt <= maxAge) {
            news.quarantined.push_back({ part, record.since, record.failedTrials, record.crashes });
        }
    }
    news.sightings = m_sightings.news(maxAge, now);
    keepLatest(news.sightings, maxSightingsInNews);
    news.losses = m_losses.news(maxAge, now);
    news.losses.resize(std::min(news.losses.size(), maxLossesInNews));
    return news;
}

} // namespace mustardtrail::gateway
