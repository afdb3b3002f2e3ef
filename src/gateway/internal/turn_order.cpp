#include "gateway/turn_order.h"

#include <algorithm>
#include <vector>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;

constexpr int catchUpTurns = 2; // At most in a row, for an urgency whose requests could not be placed for long.

// What others may get before a request that needs this work.
microseconds allowanceFor(microseconds work, size_t waitingUrgencies)
{
    const int others = std::max(turn_order::guaranteedTurnEvery, static_cast<int>(waitingUrgencies)) - 1;
    return others * std::max(work, turn_order::minWork);
}

} // namespace

// Earliest deadline first: a less urgent one must go now if it would miss its turn because the most urgent and those that are due
// before it go first. A most urgent request with more work than its own counts no more than that, or it would never be first.
std::optional<int> turn_order::overdue(const waiting_work &waiting) const
{
    if (waiting.size() < 2) {
        return std::nullopt;
    }
    struct due_turn {
        microseconds slack;
        int urgency;
        microseconds work;
    };
    std::vector<due_turn> due;
    for (const auto &[urgency, work] : waiting) {
        const auto missed = m_missed.find(urgency);
        const microseconds used = missed == m_missed.end() ? microseconds(0) : missed->second;
        due.push_back({ allowanceFor(work, waiting.size()) - used, urgency, std::max(work, minWork) });
    }
    std::sort(due.begin(), due.end(), [](const due_turn &left, const due_turn &right) {
        return std::pair(left.slack, left.urgency) < std::pair(right.slack, right.urgency);
    });
    const int mostUrgent = waiting.begin()->first;
    const microseconds firstWork = std::max(waiting.begin()->second, minWork);
    microseconds before{ 0 };
    for (const due_turn &each : due) {
        if (each.urgency == mostUrgent) {
            continue;
        }
        if (before + std::min(firstWork, each.work) > each.slack) {
            return due.front().urgency;
        }
        before += each.work;
    }
    return std::nullopt;
}

void turn_order::recordTurn(int urgency, microseconds work, const waiting_work &waiting)
{
    std::erase_if(m_missed, [&](const auto &entry) {
        return !waiting.contains(entry.first);
    });
    microseconds most = catchUpTurns * allowanceFor(work, waiting.size());
    for (const auto &[each, nextWork] : waiting) {
        most = std::max(most, catchUpTurns * allowanceFor(nextWork, waiting.size()));
    }
    for (const auto &[each, nextWork] : waiting) {
        microseconds &missed = m_missed[each];
        missed = each == urgency ? std::max(missed - allowanceFor(work, waiting.size()), microseconds(0))
                                 : std::min(missed + std::max(work, minWork), most);
    }
}

} // namespace mustardtrail::gateway
