#include "gateway/waiting_prompts.h"

#include "gateway/urgency.h"

#include "gateway/waiting_order.h"

#include <algorithm>
#include <functional>
#include <set>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::milliseconds;

// Far above what any engine or caller allows; larger figures are damaged and would overflow sums.
constexpr std::int64_t maxTokens = 100'000'000;
constexpr std::chrono::minutes maxTime{ 60 };

bool isWithin(time_point moment, time_point now)
{
    return moment >= now - maxTime && moment <= now + maxTime;
}

bool isPossible(const waiting_prompt &prompt, time_point now)
{
    const bool hasTokens = prompt.promptTokens > 0 && prompt.memoryTokens >= prompt.promptTokens && prompt.memoryTokens <= maxTokens;
    const bool hasTimes = isWithin(prompt.arrivedAt, now) && isWithin(prompt.firstEventDueAt, now) && isWithin(prompt.callerLeavesAt, now);
    return prompt.request != 0 && prompt.urgency <= static_cast<unsigned>(leastUrgent) && hasTokens && hasTimes;
}

// Every instance but its own sees a prompt as younger than it is by the time that the report took. With the newest first, two prompts
// that arrive within that time would both wait behind each other. The usual time is taken off, and a later report that took longer does
// not count; what is left errs towards both being first, which costs one of them a refused reservation.
void correctAge(waiting_prompt &prompt, const std::vector<waiting_prompt> &before)
{
    std::chrono::nanoseconds delay = waiting_prompts::usualReportDelay;
    const auto known = std::find_if(before.begin(), before.end(), [&](const waiting_prompt &each) {
        return each.request == prompt.request;
    });
    if (known != before.end()) {
        delay = std::max<std::chrono::nanoseconds>(delay, prompt.arrivedAt - known->arrivedAt);
    }
    prompt.arrivedAt -= delay;
    prompt.firstEventDueAt -= delay;
    prompt.callerLeavesAt -= delay;
}

void sortInOrder(std::vector<waiting_prompt> &prompts, size_t limit, time_point now)
{
    std::sort(prompts.begin(), prompts.end(), [now](const waiting_prompt &left, const waiting_prompt &right) {
        return waitingOrder(left, now) < waitingOrder(right, now);
    });
    prompts.resize(std::min(prompts.size(), limit));
}

} // namespace

waiting_prompts::waiting_prompts(ignored_log onIgnored)
    : m_onIgnored(std::move(onIgnored))
{
}

void waiting_prompts::add(const waiting_prompt &own)
{
    m_own[own.request] = own;
}

void waiting_prompts::remove(std::uint64_t request)
{
    m_own.erase(request);
}

size_t waiting_prompts::ownCount() const
{
    return m_own.size();
}

std::vector<waiting_prompt> waiting_prompts::ownForReport(time_point now) const
{
    std::vector<waiting_prompt> prompts;
    for (const auto &[request, prompt] : m_own) {
        prompts.push_back(prompt);
    }
    sortInOrder(prompts, maxReported, now);
    return prompts;
}

void waiting_prompts::replaceReported(
    peer_address from, const std::vector<waiting_prompt> &prompts, const service_filter &isKnownService, time_point now)
{
    if (!m_heardSince || now - m_heardAt > entryLife) {
        m_heardSince = now;
    }
    m_heardAt = now;
    std::vector<waiting_prompt> before;
    if (const auto known = m_reported.find(from); known != m_reported.end()) {
        before = std::move(known->second.prompts);
        m_reported.erase(known);
    }
    std::vector<waiting_prompt> used;
    size_t ignored = 0;
    std::string_view why;
    for (const waiting_prompt &each : prompts) {
        const bool isPossibleEntry = isPossible(each, now);
        const bool isKnown = isPossibleEntry && isKnownService(each.service);
        if (isKnown && used.size() < maxReported) {
            correctAge(used.emplace_back(each), before);
            continue;
        }
        ++ignored;
        why = !isPossibleEntry ? "impossible_figures" : !isKnown ? "unknown_service" : "too_many";
    }
    if (ignored > 0) {
        m_onIgnored(from, ignored, why);
    }
    if (!used.empty()) {
        m_reported[from] = { std::move(used), now };
    }
}

void waiting_prompts::expire(time_point now)
{
    std::erase_if(m_reported, [now](const auto &entry) {
        return now - entry.second.receivedAt > entryLife;
    });
}

std::vector<waiting_prompt> waiting_prompts::ahead(const waiting_prompt &prompt, size_t limit, time_point now) const
{
    const waiting_order own = waitingOrder(prompt, now);
    std::vector<std::pair<waiting_order, const waiting_prompt *>> before;
    const auto consider = [&](const waiting_prompt &other) {
        if (other.service != prompt.service || other.request == prompt.request || now >= other.callerLeavesAt) {
            return;
        }
        const waiting_order order = waitingOrder(other, now);
        if (order < own) {
            before.emplace_back(order, &other);
        }
    };
    for (const auto &[request, other] : m_own) {
        consider(other);
    }
    for (const auto &[from, reported] : m_reported) {
        if (now - reported.receivedAt > entryLife) {
            continue;
        }
        for (const waiting_prompt &other : reported.prompts) {
            consider(other);
        }
    }
    // A heap: in overload hundreds wait, and a placement asks for the first few of them.
    std::make_heap(before.begin(), before.end(), std::greater<>());
    std::vector<waiting_prompt> found;
    std::set<std::uint64_t> seen;
    for (auto end = before.end(); end != before.begin() && found.size() < limit; --end) {
        std::pop_heap(before.begin(), end, std::greater<>());
        const waiting_prompt &next = *std::prev(end)->second;
        if (seen.insert(next.request).second) {
            found.push_back(next);
        }
    }
    return found;
}

size_t waiting_prompts::reportedCount(time_point now) const
{
    size_t count = 0;
    for (const auto &[from, reported] : m_reported) {
        count += now - reported.receivedAt > entryLife ? 0 : reported.prompts.size();
    }
    return count;
}

std::optional<milliseconds> waiting_prompts::silence(time_point now) const
{
    return m_heardSince ? std::optional(std::chrono::duration_cast<milliseconds>(now - m_heardAt)) : std::nullopt;
}

bool waiting_prompts::isInformed(time_point now) const
{
    return m_heardSince && now - m_heardAt <= entryLife && now - *m_heardSince >= informedAfter;
}

} // namespace mustardtrail::gateway
