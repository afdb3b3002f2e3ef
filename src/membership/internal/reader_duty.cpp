#include "membership/internal/reader_duty.h"

#include <algorithm>

namespace mustardtrail::membership
{

using std::chrono::milliseconds;

reader_duty::reader_duty(const reader_settings &settings, random_source &random)
    : m_settings(settings)
    , m_random(random)
    , m_backoff(settings.firstBackoff)
    , m_jitter(jitter(settings.silenceJitter))
{
}

milliseconds reader_duty::jitter(milliseconds longest)
{
    return milliseconds(m_random.below(static_cast<std::uint64_t>(longest.count()) + 1));
}

bool reader_duty::isChosen(int rank) const
{
    return rank < m_settings.readers;
}

milliseconds reader_duty::silenceBound(int rank) const
{
    const milliseconds step = m_settings.silenceStep * (rank - m_settings.readers + 1);
    return std::min(step, m_settings.longestSilence) + m_jitter;
}

bool reader_duty::inFlight(time_point now) const
{
    return m_answerBy && now < *m_answerBy;
}

bool reader_duty::isDue(int rank, time_point now) const
{
    if (inFlight(now) || now < m_nextRead) {
        return false;
    }
    if (isChosen(rank)) {
        return true;
    }
    if (now < m_nextStepIn) {
        return false;
    }
    const time_point silentSince = std::max(m_freshAt.value_or(time_point{}), m_silentSince.value_or(time_point{}));
    return now - silentSince >= silenceBound(rank);
}

void reader_duty::started(milliseconds allowed, time_point now)
{
    if (m_answerBy) {
        failed(now);
    }
    m_answerBy = now + allowed;
    ++m_reads;
}

void reader_duty::succeeded(time_point now)
{
    m_answerBy.reset();
    m_freshAt = now;
    m_backoff = m_settings.firstBackoff;
    m_jitter = jitter(m_settings.silenceJitter);
    m_nextRead = now + m_settings.period;
}

// The chosen readers are few and go on at a steady rate, so that the end of an outage is noticed soon.
void reader_duty::failed(time_point now)
{
    m_answerBy.reset();
    m_nextRead = now + m_settings.firstBackoff + jitter(m_settings.firstBackoff);
    m_nextStepIn = now + m_backoff + jitter(m_backoff);
    m_backoff = std::min(m_backoff * 2, m_settings.longestBackoff);
    m_jitter = jitter(m_settings.silenceJitter);
}

void reader_duty::heardAge(milliseconds age, time_point now)
{
    const time_point at = now - age;
    m_freshAt = m_freshAt ? std::max(*m_freshAt, at) : at;
}

void reader_duty::startSilence(time_point now)
{
    m_silentSince = now;
}

void reader_duty::readAt(time_point at)
{
    m_nextRead = at;
    m_nextStepIn = at;
}

std::optional<milliseconds> reader_duty::age(time_point now) const
{
    if (!m_freshAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *m_freshAt);
}

std::uint64_t reader_duty::reads() const
{
    return m_reads;
}

} // namespace mustardtrail::membership
