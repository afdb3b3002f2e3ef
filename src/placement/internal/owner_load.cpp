#include "placement/internal/owner_load.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

using seconds_double = std::chrono::duration<double>;

constexpr std::chrono::seconds summaryStaleAfter{ 5 };
/// The view lists a server that takes work, so an owner that says that it has none is asked again soon.
constexpr std::chrono::seconds takesNoWorkStaleAfter{ 1 };
/// Own sends count this long when no summary comes to settle them.
constexpr std::chrono::seconds sentMemory{ 5 };
/// Other origins see the same summary and choose alike, so each own send stands for some of theirs.
constexpr double originsPerSend = 3;
constexpr double unknownRate = 10000; ///< Tokens a second of an owner that sent no summary yet.

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
    forgetSentBefore(takenAt);
}

void owner_load::onSent(const work_item &work, int priority, time_point now)
{
    forgetSentBefore(now - sentMemory);
    m_sent.push_back({ now, priority, work.promptTokens, work.promptTokens + work.maxNewTokens });
}

void owner_load::onServersAdded(time_point now)
{
    m_serversAddedAt = now;
}

bool owner_load::isKnown(time_point now) const
{
    if (!m_takenAt) {
        return false;
    }
    if (takesNoWork()) {
        return isCurrent() && now - *m_takenAt <= takesNoWorkStaleAfter;
    }
    return now - *m_takenAt <= summaryStaleAfter;
}

bool owner_load::mayRefuse(time_point now) const
{
    return isKnown(now) && isCurrent();
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
    if (!isKnown(now)) {
        return tokensAtRate(static_cast<double>(promptTokens), rate());
    }
    const std::chrono::nanoseconds brief = m_summary.shortFirstToken;
    const std::chrono::nanoseconds extended = m_summary.longFirstToken;
    const double above = static_cast<double>(std::max<token_count>(0, promptTokens - summaryShortTokens));
    constexpr double span = summaryLongTokens - summaryShortTokens;
    if (m_summary.longFirstToken >= summaryUnreachable) {
        return brief + tokensAtRate(above, rate());
    }
    return brief + std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>((extended - brief).count()) * above / span));
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
    if (!isKnown(now) || work.model.empty()) {
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

std::size_t owner_load::sentSince() const
{
    return m_sent.size();
}

double owner_load::rate() const
{
    return m_takenAt && m_summary.prefillTokensPerSecond > 0 ? static_cast<double>(m_summary.prefillTokensPerSecond) : unknownRate;
}

void owner_load::forgetSentBefore(time_point from)
{
    while (!m_sent.empty() && m_sent.front().at < from) {
        m_sent.pop_front();
    }
}

} // namespace mustardtrail::placement
