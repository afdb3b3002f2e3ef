#include "placement/prefill_backlog.h"

#include <algorithm>
#include <cmath>

namespace mustardtrail::placement
{

namespace
{

using seconds_double = std::chrono::duration<double>;

constexpr double prefillChunkTokens = 2048; ///< An engine yields to more urgent work after one chunk.
constexpr seconds_double arrivalTimeConstant{ 10 };
constexpr seconds_double rateTimeConstant{ 20 };
constexpr seconds_double leastBusyTime{ 0.5 }; ///< Shortest busy time from which the rate is estimated.
constexpr double lowestRateShare = 0.1; ///< Of the reported rate.
constexpr double highestRateShare = 1.5;
constexpr double leastShareLeft = 0.05;
constexpr double defaultRate = 10000; ///< Tokens a second before anything is reported.

double secondsBetween(time_point from, time_point to)
{
    return std::max(0.0, seconds_double(to - from).count());
}

} // namespace

prefill_backlog::prefill_backlog(double tokensPerSecond, bool countLongArrivals)
    : m_countLongArrivals(countLongArrivals)
    , m_rate(tokensPerSecond > 0 ? tokensPerSecond : defaultRate)
    , m_reportedRate(tokensPerSecond)
{
}

void prefill_backlog::add(const attempt_id &attempt, int priority, token_count promptTokens, time_point now)
{
    advance(now);
    decayArrivals(now);
    // One long prompt can exceed what an engine prefills within the time constant; its remaining tokens count as backlog anyway.
    if (m_countLongArrivals || lengthClassOf(promptTokens) != length_class::long_prompt) {
        m_arrivals[priority] += static_cast<double>(promptTokens) / arrivalTimeConstant.count();
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
    updateRate();
}

void prefill_backlog::remove(const attempt_id &attempt, time_point now)
{
    advance(now);
    std::erase_if(m_entries, [&](const entry &other) {
        const bool found = other.attempt == attempt;
        m_observedTokens += found ? static_cast<double>(other.promptTokens) - other.remaining : 0;
        return found;
    });
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
    double excess = tokens - secondsBetween(takenAt, now) * m_rate;
    for (const entry &other : m_entries) {
        excess += other.sentAt > takenAt ? static_cast<double>(other.promptTokens) : 0;
        excess -= other.remaining;
    }
    // The engine prefills urgent prompts first, so the excess over the estimate is attributed to the least urgent ones.
    for (auto other = m_entries.rbegin(); other != m_entries.rend() && excess > 0; ++other) {
        const double back = std::min(excess, static_cast<double>(other->promptTokens) - other->remaining);
        other->remaining += back;
        excess -= back;
    }
    m_foreign = std::max(0.0, excess);
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

int prefill_backlog::longPromptCount() const
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
    const double elapsed = secondsBetween(m_advancedAt, now);
    m_advancedAt = std::max(m_advancedAt, now);
    if (!m_entries.empty()) {
        const double decay = std::exp(-elapsed / rateTimeConstant.count());
        m_observedTokens *= decay;
        m_observedBusy = m_observedBusy * decay + elapsed;
    }
    double budget = elapsed * m_rate;
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
    return std::exp(-secondsBetween(m_arrivalsAt, now) / arrivalTimeConstant.count());
}

void prefill_backlog::decayArrivals(time_point now)
{
    const double factor = arrivalFactor(now);
    for (double &rate : m_arrivals) {
        rate *= factor;
    }
    m_arrivalsAt = now;
}

void prefill_backlog::updateRate()
{
    if (m_observedBusy < leastBusyTime.count()) {
        return;
    }
    double done = m_observedTokens;
    for (const entry &other : m_entries) {
        done += static_cast<double>(other.promptTokens) - other.remaining;
    }
    m_rate = done / m_observedBusy;
    if (m_reportedRate > 0) {
        m_rate = std::clamp(m_rate, lowestRateShare * m_reportedRate, highestRateShare * m_reportedRate);
    }
}

} // namespace mustardtrail::placement
