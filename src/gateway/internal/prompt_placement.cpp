#include "gateway/prompt_placement.h"

#include "gateway/read_cost.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds partTarget{ 60'000 }; ///< One part; shorter parts cost more at the engines than they gain.
constexpr size_t mostParts = 17; ///< The answering engine and the 16 helpers that a request may name.
constexpr microseconds readPerPass{ 150'000 }; ///< Keeps a pass with its writers below the 250 ms pause of quick streams.
constexpr microseconds readPerLongPass{ 450'000 }; ///< The same for engines whose writers allow 600 ms and more.
constexpr milliseconds sendMargin{ 100 }; ///< Network, and the pass that runs when the request arrives.
constexpr milliseconds roundTrip{ 4 }; ///< Between this instance and a backend server.

struct rated_candidate {
    const placement_candidate *candidate;
    microseconds pending;
};

std::vector<rated_candidate> rate(const std::vector<placement_candidate> &candidates)
{
    std::vector<rated_candidate> rated;
    for (const placement_candidate &each : candidates) {
        rated.push_back({ &each, each.load.pendingRead + each.load.overdue });
    }
    std::stable_sort(rated.begin(), rated.end(), [](const rated_candidate &left, const rated_candidate &right) {
        return std::tuple(left.candidate->isSuspect, left.pending, left.candidate->load.requests)
            < std::tuple(right.candidate->isSuspect, right.pending, right.candidate->load.requests);
    });
    return rated;
}

bool canAnswer(const placement_candidate &candidate, std::int64_t tokens, const engine_profile &engine)
{
    return !candidate.isColdFull && candidate.load.requests < candidate.slots
        && candidate.load.memoryTokens + tokens <= engine.memoryTokens;
}

microseconds passLimit(const placement_candidate &candidate)
{
    return candidate.load.shortWriters > 0 ? readPerPass : readPerLongPass;
}

// The answering engine keeps the memory of the whole prompt, the helpers only read.
std::vector<rated_candidate> choose(
    const std::vector<rated_candidate> &rated, size_t parts, std::int64_t tokens, const engine_profile &engine)
{
    std::vector<rated_candidate> chosen;
    for (const rated_candidate &each : rated) {
        if (chosen.empty() && canAnswer(*each.candidate, tokens, engine)) {
            chosen.push_back(each);
        }
    }
    if (chosen.empty()) {
        return chosen;
    }
    for (const rated_candidate &each : rated) {
        if (chosen.size() == parts) {
            break;
        }
        if (each.candidate != chosen.front().candidate && !each.candidate->isSuspect && !each.candidate->isColdFull) {
            chosen.push_back(each);
        }
    }
    return chosen;
}

placement_decision refuse(std::string_view reason, milliseconds retryAfter)
{
    placement_decision decision;
    decision.next = placement_decision::action::refuse;
    decision.reason = reason;
    decision.retryAfter = retryAfter;
    return decision;
}

} // namespace

placement_decision placePrompt(
    const prompt_work &work, const engine_profile &engine, std::vector<placement_candidate> candidates, time_point now)
{
    constexpr milliseconds noServerPause{ 500 }; // A replaced server is listed within about a heartbeat.
    if (candidates.empty()) {
        return refuse("no_server", noServerPause);
    }
    const std::int64_t tokens = work.promptTokens + work.answerTokens;
    const microseconds whole = readTime(engine, work.promptTokens);
    const auto wanted = static_cast<size_t>((whole + partTarget - microseconds(1)) / partTarget);
    const size_t parts = std::clamp<size_t>(wanted, 1, mostParts);
    const auto chosen = choose(rate(candidates), parts, tokens, engine);

    placement_decision decision;
    if (chosen.empty()) {
        decision.reason = "no_memory_or_slot";
        decision.predictedFirst = whole / static_cast<std::int64_t>(parts);
        if (now + decision.predictedFirst + sendMargin > work.targetAt) {
            return refuse(decision.reason, milliseconds(500));
        }
        return decision;
    }
    const microseconds part = whole / static_cast<std::int64_t>(chosen.size());
    microseconds slowest{ 0 };
    bool disturbs = false;
    for (const rated_candidate &each : chosen) {
        slowest = std::max(slowest, each.pending + part);
        disturbs = disturbs || (each.pending.count() > 0 && each.pending + part > passLimit(*each.candidate));
    }
    decision.predictedFirst = slowest + passTime(engine) + roundTrip;
    const bool canWait = now + decision.predictedFirst + sendMargin < work.targetAt;
    if (disturbs && canWait) {
        decision.reason = "passes_full";
        return decision;
    }
    if (now + decision.predictedFirst > work.deadline) {
        return refuse("deadline", std::chrono::duration_cast<milliseconds>(slowest));
    }
    decision.next = placement_decision::action::send;
    decision.reason = canWait ? "fits" : "due";
    for (const rated_candidate &each : chosen) {
        decision.parts.push_back({ each.candidate->key, part, decision.parts.empty() ? tokens : 0 });
    }
    return decision;
}

} // namespace mustardtrail::gateway
