#include "gateway/prompt_placement.h"

#include "gateway/engine_timing.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds partTarget{ 60'000 }; ///< One part; shorter parts cost more at the engines than they gain.
constexpr size_t mostParts = 17; ///< The answering engine and the 16 helpers that a request may name.
constexpr microseconds shortPass{ 210'000 }; ///< Whole pass, for quick streams: their 250 ms less network and error.
constexpr microseconds gatheredPass{ 150'000 }; ///< Up to here quick streams are gathered: half of their 300 ms to the first event.
constexpr microseconds longPass{ 300'000 }; ///< Engines read the last part first, so what would wait there longer waits here.
constexpr microseconds longestPass{ 750'000 }; ///< Never exceeded for a prompt that others could wait for.
constexpr std::int64_t tokensPerDisturbed = 10'000; ///< Twice a usual quick prompt: what a long one may cost others.
constexpr milliseconds sendMargin{ 100 }; ///< Network, and the pass that runs when the request arrives.
constexpr milliseconds roundTrip{ 4 }; ///< Between this instance and a backend server.
constexpr double ticketShare = 0.5; ///< Of an engine's memory for one prompt's reservation, so that other work goes on beside it.
constexpr int freeSlots = 3; ///< Left by late requests to those that can be on time.
constexpr int ungatheredSlots = 6; ///< Of an engine that quick streams are gathered on; fuller ones take long to the first event.
constexpr int queuedStreams = 4; ///< Interrupted streams that may wait in an engine's own queue.
constexpr milliseconds noServerPause{ 500 }; ///< A replaced server is listed within about a heartbeat.
constexpr milliseconds noRoomPause{ 500 }; ///< About the time in which one of many streams ends.

using candidates_view = std::vector<const placement_candidate *>;

microseconds pendingAt(const placement_candidate &candidate)
{
    return candidate.load.pendingPrefill + candidate.load.overdue;
}

microseconds passWith(const placement_candidate &candidate, microseconds part, const engine_profile &engine)
{
    return pendingAt(candidate) + part + batchStepTime(engine, candidate.load);
}

bool wouldDisturb(const placement_candidate &candidate, microseconds part, const engine_profile &engine)
{
    if (candidate.load.latencySensitiveRequests > 0) {
        return passWith(candidate, part, engine) > shortPass;
    }
    return pendingAt(candidate).count() > 0 && passWith(candidate, part, engine) > longPass;
}

bool canAnswer(const placement_candidate &candidate, std::int64_t tokens, const engine_profile &engine, int reserve)
{
    const int taken = static_cast<int>(candidate.load.requests) + reserve;
    return !candidate.isAtColdLimit && taken < static_cast<int>(candidate.slots)
        && candidate.load.memoryTokens + tokens <= engine.memoryTokens;
}

bool canHelp(const placement_candidate &candidate)
{
    return !candidate.isSuspected && !candidate.isAtColdLimit;
}

candidates_view byPending(const std::vector<placement_candidate> &candidates)
{
    candidates_view ordered;
    for (const placement_candidate &each : candidates) {
        ordered.push_back(&each);
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](const placement_candidate *left, const placement_candidate *right) {
        return std::tuple(left->isSuspected, pendingAt(*left), left->load.requests)
            < std::tuple(right->isSuspected, pendingAt(*right), right->load.requests);
    });
    return ordered;
}

candidates_view withoutShortWriters(const candidates_view &ordered)
{
    candidates_view free;
    for (const placement_candidate *each : ordered) {
        if (each->load.latencySensitiveRequests == 0 && !each->isSuspected) {
            free.push_back(each);
        }
    }
    return free;
}

// Quick streams are gathered on few engines, so that the others can read long prompts in long passes.
const placement_candidate *gatheringEngine(
    const candidates_view &ordered, std::int64_t tokens, microseconds part, const engine_profile &engine)
{
    const placement_candidate *best = nullptr;
    for (const placement_candidate *each : ordered) {
        const bool hasRoom = canAnswer(*each, tokens, engine, ungatheredSlots);
        const bool isQuick = !each->isSuspected && passWith(*each, part, engine) <= gatheredPass;
        if (hasRoom && isQuick && (!best || each->load.latencySensitiveRequests > best->load.latencySensitiveRequests)) {
            best = each;
        }
    }
    return best;
}

const placement_candidate *firstThatAnswers(const candidates_view &ordered, std::int64_t tokens, const engine_profile &engine, int reserve)
{
    const auto found = std::find_if(ordered.begin(), ordered.end(), [&](const placement_candidate *each) {
        return canAnswer(*each, tokens, engine, reserve);
    });
    return found == ordered.end() ? nullptr : *found;
}

// The answering engine keeps the memory of the whole prompt, the helpers only read.
candidates_view withHelpers(
    const placement_candidate *answering, const candidates_view &helpers, size_t parts, microseconds part, const engine_profile &engine)
{
    candidates_view chosen{ answering };
    for (const placement_candidate *each : helpers) {
        if (chosen.size() == parts) {
            break;
        }
        if (each != answering && canHelp(*each) && !wouldDisturb(*each, part, engine)) {
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

/// One look, with what does not change between the ways that are compared.
class placement_look
{
public:
    placement_look(const placement_request &work, const engine_profile &engine, time_point now)
        : m_work(work)
        , m_engine(engine)
        , m_now(now)
        , m_tokens(work.promptTokens + work.answerTokens)
        , m_whole(prefillTime(engine, work.promptTokens))
        , m_parts(std::clamp<size_t>(static_cast<size_t>((m_whole + partTarget - microseconds(1)) / partTarget), 1, mostParts))
    {
    }

    /// Parts by the engines in the given order; nothing when none of them can answer.
    std::optional<placement_decision> decide(const candidates_view &ordered, bool isQuick) const
    {
        const microseconds wantedPart = m_whole / static_cast<std::int64_t>(m_parts);
        const placement_candidate *answering = isQuick ? gatheringEngine(ordered, m_tokens, wantedPart, m_engine) : nullptr;
        answering = answering ? answering : firstThatAnswers(ordered, m_tokens, m_engine, reserve());
        if (!answering) {
            return std::nullopt;
        }
        return decisionFor(withHelpers(answering, ordered, m_parts, wantedPart, m_engine));
    }

    bool isOnTime(const placement_decision &decision) const
    {
        return m_now + decision.predictedFirstEvent + sendMargin < m_work.firstEventDueAt;
    }

    bool exceedsOneEngine() const
    {
        return m_tokens > m_engine.memoryTokens;
    }

    /// The memory of the prompt shared out evenly over as many engines as it takes; the answering engine holds a share
    /// as well. Nothing while too few of them have the room.
    std::optional<placement_decision> decideWithReservations(const candidates_view &ordered) const
    {
        const auto mostTokens = static_cast<std::int64_t>(static_cast<double>(m_engine.memoryTokens) * ticketShare);
        const auto holders = static_cast<size_t>((m_tokens + mostTokens - 1) / mostTokens);
        const std::int64_t share = m_tokens / static_cast<std::int64_t>(holders) + 1;
        candidates_view chosen;
        for (const placement_candidate *each : ordered) {
            if (chosen.size() < holders && !each->isSuspected && canAnswer(*each, share, m_engine, reserve())) {
                chosen.push_back(each);
            }
        }
        if (chosen.size() < holders) {
            return std::nullopt;
        }
        for (const placement_candidate *each : ordered) {
            const bool isChosen = std::find(chosen.begin(), chosen.end(), each) != chosen.end();
            if (chosen.size() < m_parts && !isChosen && canHelp(*each)) {
                chosen.push_back(each);
            }
        }
        placement_decision decision = decisionFor(chosen);
        for (size_t index = 0; index < decision.parts.size(); ++index) {
            decision.parts[index].memoryTokens = index < holders ? share : 0;
            decision.parts[index].contextTokens = index < holders ? share : 0;
        }
        return decision;
    }

    /// While no engine can answer.
    placement_decision withoutRoom() const
    {
        placement_decision decision;
        decision.reason = "no_memory_or_slot";
        decision.predictedFirstEvent = m_whole / static_cast<std::int64_t>(m_parts);
        return isOnTime(decision) || isWorthHolding() ? decision : refuse(decision.reason, noRoomPause);
    }

private:
    // Late requests leave the last slots to those that can still be on time.
    int reserve() const
    {
        if (m_work.isInterrupted) {
            return -queuedStreams;
        }
        return m_now + m_whole / static_cast<std::int64_t>(m_parts) + sendMargin < m_work.firstEventDueAt ? 0 : freeSlots;
    }

    // A request that will be late displaces nothing that is on time; but it is not held until nothing can be done for it.
    bool isWorthHolding() const
    {
        if (m_work.isInterrupted) {
            return m_now + m_whole / static_cast<std::int64_t>(m_parts) + sendMargin < m_work.callerTimeoutAt;
        }
        return m_now < m_work.arrivedAt + (m_work.callerTimeoutAt - m_work.arrivedAt) / 2;
    }

    placement_decision decisionFor(const candidates_view &chosen) const
    {
        const microseconds part = m_whole / static_cast<std::int64_t>(chosen.size());
        microseconds slowest{ 0 };
        unsigned disturbedStreams = 0;
        bool disturbs = false;
        for (const placement_candidate *each : chosen) {
            slowest = std::max(slowest, pendingAt(*each) + part);
            const bool isDisturbed = wouldDisturb(*each, part, m_engine);
            disturbs = disturbs || isDisturbed;
            disturbedStreams += isDisturbed ? each->load.latencySensitiveRequests : 0;
        }
        placement_decision decision;
        decision.predictedFirstEvent = slowest + batchStepTime(m_engine, chosen.front()->load) + roundTrip;
        decision.reason = disturbs ? "passes_full" : "fits";
        if (disturbs && isOnTime(decision)) {
            return decision;
        }
        const bool isSmall = m_parts == 1;
        const bool costsTooMuch = slowest > longestPass || disturbedStreams * tokensPerDisturbed > m_tokens;
        if (disturbs && !isSmall && costsTooMuch) {
            return isWorthHolding() ? decision : refuse(decision.reason, std::chrono::duration_cast<milliseconds>(slowest));
        }
        if (m_now + decision.predictedFirstEvent > std::min(m_work.deadline, m_work.callerTimeoutAt)) {
            return refuse("deadline", std::chrono::duration_cast<milliseconds>(slowest));
        }
        decision.next = placement_decision::action::send;
        for (const placement_candidate *each : chosen) {
            const bool answers = decision.parts.empty();
            const std::int64_t context = answers ? m_tokens / static_cast<std::int64_t>(chosen.size()) : 0;
            decision.parts.push_back({ each->key, part, context, answers ? m_tokens : 0 });
        }
        return decision;
    }

    const placement_request &m_work;
    const engine_profile &m_engine;
    time_point m_now;
    std::int64_t m_tokens;
    microseconds m_whole; ///< Reading time of the prompt at one engine.
    size_t m_parts;
};

} // namespace

placement_decision placePrompt(
    const placement_request &work, const engine_profile &engine, const std::vector<placement_candidate> &candidates, time_point now)
{
    if (candidates.empty()) {
        return refuse("no_server", noServerPause);
    }
    const placement_look look(work, engine, now);
    const candidates_view all = byPending(candidates);
    const bool isQuick = work.pauseTarget <= latencySensitivePause;
    if (look.exceedsOneEngine()) {
        // Its parts take passes of a second and more, which no quick stream can sit through.
        const auto apart = look.decideWithReservations(withoutShortWriters(all));
        return apart ? *apart : look.withoutRoom();
    }
    if (!isQuick) {
        const auto apart = look.decide(withoutShortWriters(all), false);
        if (apart && look.isOnTime(*apart)) {
            return *apart;
        }
    }
    const auto decision = look.decide(all, isQuick);
    return decision ? *decision : look.withoutRoom();
}

} // namespace mustardtrail::gateway
