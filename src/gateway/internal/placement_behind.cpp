#include "gateway/placement_behind.h"

#include "gateway/engine_timing.h"
#include "gateway/internal/engine_fit.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;

// Reports do not tell the event gap target of waiting prompts, which all are long; the own prompt's stands for theirs.
placement_request requestFor(const waiting_prompt &prompt, const placement_request &own)
{
    placement_request request = own;
    request.promptTokens = prompt.promptTokens;
    request.answerTokens = prompt.memoryTokens - prompt.promptTokens;
    request.arrivedAt = prompt.arrivedAt;
    request.firstEventDueAt = prompt.firstEventDueAt;
    request.callerTimeoutAt = prompt.callerLeavesAt;
    request.deadline = prompt.callerLeavesAt;
    return request;
}

void addParts(std::vector<placement_candidate> &candidates, const placement_decision &placed, const placement_request &request)
{
    for (const placed_part &part : placed.parts) {
        const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const placement_candidate &each) {
            return each.key == part.server;
        });
        server_load &load = found->load;
        load.pendingPrefill += part.prefillTime;
        load.memoryTokens += part.memoryTokens;
        load.contextTokens += part.contextTokens;
        if (&part == &placed.parts.front()) {
            ++load.requests;
            load.unreadPrompts += placed.parts.size() > 1 ? 1 : 0;
            load.addEventGapTarget(request.eventGapTarget);
        }
    }
}

// Each prompt prefers other ones of equally loaded engines, and every instance knows which: two prompts that do not know of each other
// yet seldom choose the same, and a prompt ahead is placed virtually where its instance will place it.
void orderByPreference(std::vector<placement_candidate> &candidates, std::uint64_t request)
{
    const auto preference = [request](const placement_candidate &each) {
        constexpr std::uint64_t spread = 0x9e3779b97f4a7c15; // Mixes two keys that are random already.
        return (each.key ^ request) * spread;
    };
    std::sort(candidates.begin(), candidates.end(), [&](const placement_candidate &left, const placement_candidate &right) {
        return preference(left) < preference(right);
    });
}

// Reports do not tell the data centre of a waiting prompt's instance, so engines near this one are not assumed to be near that one.
void removeLinks(std::vector<placement_candidate> &candidates)
{
    for (placement_candidate &each : candidates) {
        each.linkDelay = microseconds(0);
        each.isInOwnDataCentre = true;
    }
}

void restoreLinks(std::vector<placement_candidate> &candidates, const std::vector<placement_candidate> &from)
{
    for (const placement_candidate &original : from) {
        const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const placement_candidate &each) {
            return each.key == original.key;
        });
        found->linkDelay = original.linkDelay;
        found->isInOwnDataCentre = original.isInOwnDataCentre;
    }
}

// The fewest engines on which the prompt can still be on time if they are idle; once it is late, those that hold its memory. 0 if it
// exceeds all of them: it will never be placed.
size_t enginesNeeded(const placement_request &request, const engine_profile &engine, size_t engines, time_point now)
{
    const std::int64_t share = largestShare(engine);
    const std::int64_t tokens = request.promptTokens + request.answerTokens;
    const size_t holders = tokens > engine.memoryTokens ? static_cast<size_t>((tokens + share - 1) / share) : 1;
    if (holders > engines) {
        return 0;
    }
    const auto left = std::chrono::duration_cast<microseconds>(request.firstEventDueAt - now) - sendMargin - roundTrip;
    if (left.count() <= 0) {
        return holders;
    }
    const auto parts = static_cast<size_t>((prefillTime(engine, request.promptTokens) + left - microseconds(1)) / left);
    return std::max(holders, std::min(parts, maxParts));
}

// Keeps the engines that are soonest empty for a prompt ahead: no other may use them.
void keepEngines(std::vector<placement_candidate> &candidates, size_t count)
{
    std::vector<placement_candidate *> order;
    for (placement_candidate &each : candidates) {
        if (isUsable(each)) {
            order.push_back(&each);
        }
    }
    const auto emptiness = [](const placement_candidate &each) {
        return std::tuple(each.load.latencySensitiveRequests, each.load.memoryTokens, pendingAt(each), each.key);
    };
    std::sort(order.begin(), order.end(), [&](const placement_candidate *left, const placement_candidate *right) {
        return emptiness(*left) < emptiness(*right);
    });
    order.resize(std::min(order.size(), count));
    for (placement_candidate *each : order) {
        each->isKeptForOther = true;
    }
}

} // namespace

placement_decision placementBehind(const std::vector<waiting_prompt> &ahead,
    std::uint64_t number,
    const placement_request &request,
    const engine_profile &engine,
    const std::vector<placement_candidate> &candidates,
    time_point now)
{
    std::vector<placement_candidate> ordered = candidates;
    orderByPreference(ordered, number);
    const placement_decision alone = placePrompt(request, engine, ordered, now);
    if (ahead.empty() || alone.next != placement_decision::action::send) {
        return alone; // It waits without the prompts ahead too, so their share need not be known.
    }
    std::vector<placement_candidate> left = leftBehind(ahead, request, engine, candidates, now);
    orderByPreference(left, number);
    placement_decision decision = placePrompt(request, engine, left, now);
    if (decision.next == placement_decision::action::wait) {
        decision.reason = "behind_others";
    }
    return decision;
}

std::vector<placement_candidate> leftBehind(const std::vector<waiting_prompt> &ahead,
    const placement_request &request,
    const engine_profile &engine,
    const std::vector<placement_candidate> &candidates,
    time_point now)
{
    std::vector<placement_candidate> left = candidates;
    removeLinks(left);
    std::set<unsigned> urgencies;
    for (size_t index = 0; index < std::min(ahead.size(), maxPlacedAhead); ++index) {
        const waiting_prompt &each = ahead[index];
        const bool isFirst = urgencies.insert(each.urgency).second;
        const placement_request other = requestFor(each, request);
        orderByPreference(left, each.request);
        const placement_decision placed = placePrompt(other, engine, left, now);
        if (placed.next == placement_decision::action::send) {
            addParts(left, placed, other);
        } else if (isFirst && now - each.arrivedAt > reservesAfter) {
            keepEngines(left, enginesNeeded(other, engine, left.size(), now));
        }
    }
    restoreLinks(left, candidates);
    return left;
}

} // namespace mustardtrail::gateway
