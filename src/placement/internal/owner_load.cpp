#include "placement/internal/owner_load.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

using seconds_double = std::chrono::duration<double>;

constexpr std::chrono::seconds summaryStaleAfter{ 5 };
/// A summary without capacity expires sooner: the view still lists a server that accepts work, so it is probably out of date.
constexpr std::chrono::seconds takesNoWorkStaleAfter{ 1 };
/// Sent attempts are counted for this long when no newer summary arrives.
constexpr std::chrono::seconds sentRetention{ 5 };
/// Other origins see the same summary and choose similarly, so each attempt sent is counted as several.
constexpr double originsPerSend = 3;
constexpr double defaultRate = 10000; ///< Tokens a second of an owner without a summary.

std::chrono::nanoseconds tokensAtRate(double tokens, double tokensPerSecond)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(seconds_double(tokens / tokensPerSecond));
}

} // namespace

void owner_load::onSummary(const pool_summary &summary, time_point takenAt)
{
    if (m_takenAt && takenAt < *m_takenAt) {
        return;
    }
    m_takenAt = takenAt;
    m_summary = summary;
    dropSentBefore(takenAt);
}

void owner_load::onSent(const work_item &work, int priority, time_point now)
{
    dropSentBefore(now - sentRetention);
    m_sent.push_back({ now, priority, work.promptTokens, work.promptTokens + work.maxNewTokens });
}

void owner_load::onServersAdded(time_point now)
{
    m_serversAddedAt = now;
}

bool owner_load::hasFreshSummary(time_point now) const
{
    if (!m_takenAt) {
        return false;
    }
    if (takesNoWork()) {
        return isCurrent() && now - *m_takenAt <= takesNoWorkStaleAfter;
    }
    return now - *m_takenAt <= summaryStaleAfter;
}

bool owner_load::canRefuseBySummary(time_point now) const
{
    return hasFreshSummary(now) && isCurrent();
}

bool owner_load::isCurrent() const
{
    return m_takenAt && (!m_serversAddedAt || *m_takenAt >= *m_serversAddedAt);
}

bool owner_load::takesNoWork() const
{
    return m_summary.shortFirstToken >= summaryUnreachable;
}

std::chrono::nanoseconds owner_load::predictBySummary(token_count promptTokens, time_point now) const
{
    if (!hasFreshSummary(now)) {
        return tokensAtRate(static_cast<double>(promptTokens), rate());
    }
    const std::chrono::nanoseconds shortPrediction = m_summary.shortFirstToken;
    const std::chrono::nanoseconds longPrediction = m_summary.longFirstToken;
    const double above = static_cast<double>(std::max<token_count>(0, promptTokens - summaryShortTokens));
    constexpr double span = summaryLongTokens - summaryShortTokens;
    if (m_summary.longFirstToken >= summaryUnreachable) {
        return shortPrediction + tokensAtRate(above, rate());
    }
    return shortPrediction
        + std::chrono::nanoseconds(
            static_cast<std::int64_t>(static_cast<double>((longPrediction - shortPrediction).count()) * above / span));
}

std::chrono::nanoseconds owner_load::predict(const work_item &work, int priority, time_point now) const
{
    double sent = 0;
    for (const sent_work &other : m_sent) {
        sent += other.priority <= priority ? static_cast<double>(other.promptTokens) : 0;
    }
    return predictBySummary(work.promptTokens, now) + tokensAtRate(originsPerSend * sent, rate());
}

bool owner_load::hasMemoryFor(const work_item &work, time_point now) const
{
    if (!hasFreshSummary(now) || work.model.empty()) {
        return true;
    }
    token_count need = work.promptTokens + work.maxNewTokens;
    for (const sent_work &other : m_sent) {
        need += other.memoryTokens;
    }
    return need <= m_summary.freeTokens;
}

std::optional<time_point> owner_load::takenAt() const
{
    return m_takenAt;
}

std::size_t owner_load::sentSinceSummary() const
{
    return m_sent.size();
}

double owner_load::rate() const
{
    return m_takenAt && m_summary.prefillTokensPerSecond > 0 ? static_cast<double>(m_summary.prefillTokensPerSecond) : defaultRate;
}

void owner_load::dropSentBefore(time_point from)
{
    while (!m_sent.empty() && m_sent.front().at < from) {
        m_sent.pop_front();
    }
}

} // namespace mustardtrail::placement
