#include "placement/prefill_backlog.h"

#include <algorithm>
#include <cmath>

namespace mustardtrail::placement
{

namespace
{

using seconds_double = std::chrono::duration<double>;

constexpr double prefillChunkTokens = 2048; ///< An engine yields to more urgent work after one chunk.
constexpr seconds_double arrivalMemory{ 10 }; ///< Time constant of the arrival rates.
constexpr seconds_double observationSpan{ 0.5 }; ///< Shortest busy time that says something about the rate.
constexpr double observationWeight = 0.2;
constexpr double lowestRateShare = 0.1; ///< Of the reported rate.
constexpr double highestRateShare = 1.5;
constexpr double leastShareLeft = 0.05;
constexpr double fallbackRate = 10000; ///< Tokens a second before anything is reported.

double secondsBetween(time_point from, time_point to)
{
    return std::max(0.0, seconds_double(to - from).count());
}

} // namespace

prefill_backlog::prefill_backlog(double tokensPerSecond)
    : m_rate(tokensPerSecond > 0 ? tokensPerSecond : fallbackRate)
    , m_reportedRate(tokensPerSecond)
{
}

void prefill_backlog::add(const attempt_id &attempt, int priority, token_count promptTokens, time_point now)
{
    advance(now);
    decayArrivals(now);
    m_arrivals[priority] += static_cast<double>(promptTokens) / arrivalMemory.count();
    if (m_entries.empty()) {
        m_observedFrom = now;
        m_observedTokens = 0;
    }
    const auto place = std::upper_bound(m_entries.begin(), m_entries.end(), priority, [](int value, const entry &other) {
        return value < other.priority;
    });
    m_entries.insert(place, entry{ attempt, priority, promptTokens, static_cast<double>(promptTokens), now });
}

void prefill_backlog::complete(const attempt_id &attempt, time_point now)
{
    advance(now);
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const entry &other) {
        return other.attempt == attempt;
    });
    if (found == m_entries.end()) {
        return;
    }
    m_observedTokens += static_cast<double>(found->promptTokens);
    m_entries.erase(found);
    learn(now);
}

void prefill_backlog::remove(const attempt_id &attempt, time_point now)
{
    advance(now);
    const auto removed = std::erase_if(m_entries, [&](const entry &other) {
        return other.attempt == attempt;
    });
    if (removed > 0) {
        m_observedFrom = now;
        m_observedTokens = 0;
    }
}

void prefill_backlog::setReportedRate(double tokensPerSecond)
{
    if (tokensPerSecond <= 0) {
        return;
    }
    if (m_reportedRate <= 0) {
        m_rate = tokensPerSecond;
    }
    m_reportedRate = tokensPerSecond;
    m_rate = std::clamp(m_rate, lowestRateShare * m_reportedRate, highestRateShare * m_reportedRate);
}

void prefill_backlog::setReportedTokens(double tokens, time_point takenAt, time_point now)
{
    advance(now);
    double total = tokens - secondsBetween(takenAt, now) * m_rate;
    double own = 0;
    for (const entry &other : m_entries) {
        total += other.sentAt > takenAt ? static_cast<double>(other.promptTokens) : 0;
        own += other.remaining;
    }
    m_foreign = std::max(0.0, total - own);
}

double prefill_backlog::tokensPerSecond() const
{
    return m_rate;
}

double prefill_backlog::tokensAhead(int priority, time_point now)
{
    advance(now);
    double sum = m_foreign;
    for (const entry &other : m_entries) {
        if (other.priority > priority) {
            break;
        }
        sum += other.remaining;
    }
    return sum;
}

double prefill_backlog::tokensTotal(time_point now)
{
    return tokensAhead(leastUrgentPriority, now);
}

int prefill_backlog::longPrompts() const
{
    return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [](const entry &other) {
        return lengthClassOf(other.promptTokens) == length_class::long_prompt;
    }));
}

double prefill_backlog::shareLeft(int priority, time_point now) const
{
    double urgent = 0;
    for (int other = 0; other < priority; ++other) {
        urgent += m_arrivals[other];
    }
    return std::max(leastShareLeft, 1 - urgent * arrivalFactor(now) / m_rate);
}

std::chrono::nanoseconds prefill_backlog::predict(int priority, token_count promptTokens, time_point now)
{
    const double work = tokensAhead(priority, now) + static_cast<double>(promptTokens);
    const double inProgress = std::min(prefillChunkTokens, tokensTotal(now));
    const seconds_double time{ (work / shareLeft(priority, now) + inProgress) / m_rate };
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

void prefill_backlog::advance(time_point now)
{
    double budget = secondsBetween(m_advancedAt, now) * m_rate;
    m_advancedAt = std::max(m_advancedAt, now);
    const double foreignDone = std::min(budget, m_foreign);
    m_foreign -= foreignDone;
    budget -= foreignDone;
    for (entry &other : m_entries) {
        if (budget <= 0) {
            return;
        }
        const double done = std::min(budget, other.remaining);
        other.remaining -= done;
        budget -= done;
    }
}

double prefill_backlog::arrivalFactor(time_point now) const
{
    return std::exp(-secondsBetween(m_arrivalsAt, now) / arrivalMemory.count());
}

void prefill_backlog::decayArrivals(time_point now)
{
    const double factor = arrivalFactor(now);
    for (double &rate : m_arrivals) {
        rate *= factor;
    }
    m_arrivalsAt = now;
}

void prefill_backlog::learn(time_point now)
{
    // Prompts end in lumps, so a rate is read off only over a busy time that left nothing half done.
    if (!m_entries.empty()) {
        return;
    }
    const double busy = secondsBetween(m_observedFrom, now);
    if (busy < observationSpan.count()) {
        return;
    }
    m_rate += observationWeight * (m_observedTokens / busy - m_rate);
    if (m_reportedRate > 0) {
        m_rate = std::clamp(m_rate, lowestRateShare * m_reportedRate, highestRateShare * m_reportedRate);
    }
}

} // namespace mustardtrail::placement
