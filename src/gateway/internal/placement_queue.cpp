#include "gateway/placement_queue.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace mustardtrail::gateway
{

namespace
{

// Requests whose failure says that others of the kind fail too.
using request_kind = std::tuple<bool, std::uint64_t, int, std::chrono::milliseconds>;

request_kind kindOf(const queue_priority &priority)
{
    return { priority.isInterrupted, priority.service, priority.urgency, priority.latencyTarget };
}

// A request of a customer over its share goes behind all others of its urgency, also behind late ones, as long as less urgent ones
// do not pass it: they would if it counted as late itself.
auto orderOf(const queue_priority &priority, bool isOverShare, bool isLeastUrgent, time_point now)
{
    const auto age = now - priority.arrivedAt;
    const bool isLate = age > priority.latencyTarget;
    const bool isBehindLate = isLate || (isOverShare && isLeastUrgent);
    return std::tuple(!priority.isInterrupted, isBehindLate, priority.urgency, isOverShare, isLate, priority.latencyTarget, age);
}

// Interrupted streams go before all turns. A burst of a customer over its share would use the turns of its urgency at the expense
// of all other customers.
bool mayClaimTurn(const queue_priority &priority, const std::set<customer_key> &overShare)
{
    return !priority.isInterrupted && !overShare.contains(priority.customer);
}

} // namespace

void placement_queue::setShareRule(share_rule rule)
{
    m_shareRule = std::move(rule);
}

placement_queue::ticket placement_queue::add(const queue_priority &priority, placement_attempt tryPlace)
{
    m_entries.emplace(++m_last, entry{ priority, std::move(tryPlace) });
    return m_last;
}

void placement_queue::remove(ticket id)
{
    m_entries.erase(id);
}

std::set<customer_key> placement_queue::customersOverShare(time_point now) const
{
    prefill_by_customer waiting;
    for (const auto &[id, each] : m_entries) {
        if (each.priority.customer != 0) {
            waiting[each.priority.customer] += each.priority.prefillTime;
        }
    }
    return m_shareRule ? m_shareRule(waiting, now) : std::set<customer_key>();
}

std::vector<placement_queue::waiting_request> placement_queue::inOrder(const std::set<customer_key> &overShare, time_point now) const
{
    std::map<std::uint64_t, int> leastUrgent;
    for (const auto &[id, each] : m_entries) {
        int &least = leastUrgent[each.priority.service];
        least = std::max(least, each.priority.urgency);
    }
    const auto keyFor = [&](const queue_priority &priority) {
        const bool isLeastUrgent = priority.urgency == leastUrgent[priority.service];
        return orderOf(priority, overShare.contains(priority.customer), isLeastUrgent, now);
    };
    std::vector<std::pair<decltype(keyFor(queue_priority())), waiting_request>> sorted;
    for (const auto &[id, each] : m_entries) {
        sorted.emplace_back(keyFor(each.priority), waiting_request{ id, each.priority, mayClaimTurn(each.priority, overShare) });
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    std::vector<waiting_request> order;
    for (const auto &[key, request] : sorted) {
        order.push_back(request);
    }
    return order;
}

void placement_queue::recordTurn(const queue_priority &placed, const std::set<customer_key> &overShare)
{
    turn_order::waiting_work waiting;
    for (const auto &[id, each] : m_entries) {
        if (each.priority.service == placed.service && mayClaimTurn(each.priority, overShare)) {
            auto &work = waiting[each.priority.urgency];
            work = std::max(work, each.priority.prefillTime);
        }
    }
    waiting.try_emplace(placed.urgency, placed.prefillTime);
    if (waiting.size() > 1) {
        m_turns[placed.service].recordTurn(placed.urgency, placed.prefillTime, waiting);
    } else {
        m_turns.erase(placed.service);
    }
}

// Moves the request that must get the next turn to the place `next` of the order; those before it have been tried in this round.
void placement_queue::advanceOverdue(std::vector<waiting_request> &order, size_t next, const request_filter &isSkipped) const
{
    const auto turns = m_turns.find(order[next].priority.service);
    if (turns == m_turns.end() || order[next].priority.isInterrupted) {
        return;
    }
    turn_order::waiting_work work;
    std::map<int, size_t> claimants; // The first of each urgency.
    for (size_t index = next; index < order.size(); ++index) {
        const queue_priority &priority = order[index].priority;
        const bool claims = order[index].mayClaimTurn && priority.service == turns->first && !isSkipped(priority);
        if (claims && claimants.try_emplace(priority.urgency, index).second) {
            work[priority.urgency] = priority.prefillTime;
        }
    }
    if (const auto overdue = turns->second.overdue(work)) {
        const auto claimant = order.begin() + static_cast<std::ptrdiff_t>(claimants.at(*overdue));
        std::rotate(order.begin() + static_cast<std::ptrdiff_t>(next), claimant, claimant + 1);
    }
}

void placement_queue::tryAll(time_point now)
{
    const std::set<customer_key> overShare = customersOverShare(now);
    std::vector<waiting_request> order = inOrder(overShare, now);
    const bool isFullRound = now >= m_nextFullRoundAt;
    if (isFullRound) {
        m_nextFullRoundAt = now + fullRoundInterval;
    }
    std::map<request_kind, unsigned> failures;
    const auto isSkipped = [&](const queue_priority &priority) {
        const auto failed = failures.find(kindOf(priority));
        return !isFullRound && failed != failures.end() && failed->second >= failuresPerRound;
    };
    for (size_t next = 0; next < order.size(); ++next) {
        if (isSkipped(order[next].priority)) {
            continue;
        }
        advanceOverdue(order, next, isSkipped);
        const waiting_request &request = order[next];
        const auto found = m_entries.find(request.id);
        if (found == m_entries.end()) {
            continue;
        }
        const attempt_result result = found->second.tryPlace(now);
        if (!result.isDone) {
            ++failures[kindOf(request.priority)];
            continue;
        }
        m_entries.erase(request.id);
        if (result.usesCapacity && !request.priority.isInterrupted) {
            recordTurn(request.priority, overShare);
        }
    }
}

size_t placement_queue::size() const
{
    return m_entries.size();
}

} // namespace mustardtrail::gateway
