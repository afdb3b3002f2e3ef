#include "placement/fair_queue.h"

#include "placement/length_class.h"

#include <algorithm>

namespace mustardtrail::placement
{

void fair_queue::push(queued_attempt item)
{
    lane &queue = m_lanes[item.priority];
    const flow owner{ item.work.workClass, item.work.customer };
    const order key{ startOf(queue, owner), m_nextSequence++ };
    queue.finish[owner] = key.start + costOf(item.work);
    queue.promptTokens += static_cast<double>(item.work.promptTokens);
    queue.memoryTokens += memoryOf(item.work);
    m_index[item.work.attempt] = { item.priority, key };
    queue.items.emplace(key, std::move(item));
}

bool fair_queue::remove(const attempt_id &attempt)
{
    const auto found = m_index.find(attempt);
    if (found == m_index.end()) {
        return false;
    }
    lane &queue = m_lanes.at(found->second.priority);
    erase(queue, queue.items.find(found->second.key));
    return true;
}

fair_queue::position fair_queue::positionOf(const work_item &work, int priority) const
{
    position ahead;
    for (const auto &[other, queue] : m_lanes) {
        if (other > priority) {
            break;
        }
        if (other < priority) {
            ahead.promptTokens += queue.promptTokens;
            ahead.memoryTokens += queue.memoryTokens;
            ahead.attempts += queue.items.size();
            continue;
        }
        const order key{ startOf(queue, { work.workClass, work.customer }), m_nextSequence };
        for (auto item = queue.items.begin(); item != queue.items.end() && item->first < key; ++item) {
            ahead.promptTokens += static_cast<double>(item->second.work.promptTokens);
            ahead.memoryTokens += memoryOf(item->second.work);
            ++ahead.attempts;
            ++ahead.attemptsOfSamePriority;
        }
    }
    return ahead;
}

void fair_queue::forEachHead(const std::function<bool(const queued_attempt &)> &take)
{
    for (auto &[priority, queue] : m_lanes) {
        while (!queue.items.empty() && take(queue.items.begin()->second)) {
            const auto head = queue.items.begin();
            queue.now = std::max(queue.now, head->first.start);
            erase(queue, head);
        }
    }
}

void fair_queue::removeIf(const std::function<bool(const queued_attempt &)> &drop)
{
    for (auto &[priority, queue] : m_lanes) {
        for (auto item = queue.items.begin(); item != queue.items.end();) {
            item = drop(item->second) ? erase(queue, item) : std::next(item);
        }
    }
}

bool fair_queue::contains(const attempt_id &attempt) const
{
    return m_index.contains(attempt);
}

std::size_t fair_queue::size() const
{
    return m_index.size();
}

double fair_queue::promptTokens() const
{
    double sum = 0;
    for (const auto &[priority, queue] : m_lanes) {
        sum += queue.promptTokens;
    }
    return sum;
}

token_count fair_queue::memoryOf(const work_item &work)
{
    return lengthClassOf(work.promptTokens) == length_class::short_prompt ? 0 : work.promptTokens + work.maxNewTokens;
}

double fair_queue::startOf(const lane &queue, const flow &owner)
{
    const auto found = queue.finish.find(owner);
    return found == queue.finish.end() ? queue.now : std::max(queue.now, found->second);
}

double fair_queue::costOf(const work_item &work)
{
    return static_cast<double>(1 + work.promptTokens + work.maxNewTokens);
}

fair_queue::item_iterator fair_queue::erase(lane &queue, item_iterator item)
{
    queue.promptTokens -= static_cast<double>(item->second.work.promptTokens);
    queue.memoryTokens -= memoryOf(item->second.work);
    m_index.erase(item->second.work.attempt);
    const auto next = queue.items.erase(item);
    // An idle lane resets its virtual times: a customer is not penalised later for capacity that was otherwise unused.
    if (queue.items.empty()) {
        queue.finish.clear();
        queue.now = 0;
        queue.promptTokens = 0;
    }
    return next;
}

} // namespace mustardtrail::placement
