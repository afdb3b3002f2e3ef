#include "gateway/prompt_placement.h"

#include "base/random_source.h"
#include "gateway/engine_timing.h"
#include "gateway/tests/engine_simulation.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

#include <algorithm>
#include <cmath>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using action = placement_decision::action;

namespace
{

constexpr size_t engines = 16;
constexpr milliseconds quickTarget{ 300 };
constexpr milliseconds mediumTarget{ 1'500 };
constexpr milliseconds longTarget{ 3'000 };

engine_profile profile()
{
    engine_profile engine;
    engine.slots = 16;
    engine.memoryTokens = 232'000;
    engine.prefillTokensPerMs = 206.0;
    engine.attentionMsPerMillionPairs = 0.138;
    engine.tokenStepMs = 1.02;
    engine.tokenStepMsPerDecode = 0.00226;
    engine.tokenStepMsPerThousandContextTokens = 0.00431;
    engine.tokenStepsPerBatchStep = 43;
    return engine;
}

placement_request requestOf(const simulated_prompt &prompt)
{
    placement_request request;
    request.promptTokens = prompt.promptTokens;
    request.answerTokens = prompt.answerTokens;
    request.eventGapTarget = prompt.eventGapTarget;
    request.arrivedAt = at(prompt.arrivesAt);
    request.firstEventDueAt = request.arrivedAt + prompt.latencyTarget;
    request.callerTimeoutAt = request.arrivedAt + std::max(milliseconds(2'000), 4 * prompt.latencyTarget);
    request.deadline = request.arrivedAt + milliseconds(10'000);
    return request;
}

std::vector<placement_candidate> candidatesOf(const std::vector<server_key> &keys, const load_tracker &tracker, time_point now)
{
    const auto loads = tracker.loads(now);
    std::vector<placement_candidate> candidates;
    for (const server_key key : keys) {
        placement_candidate candidate;
        candidate.key = key;
        candidate.slots = profile().slots;
        const auto load = loads.find(key);
        candidate.load = load == loads.end() ? server_load() : load->second;
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

placement_decision place(const simulated_prompt &prompt, const std::vector<server_key> &keys, const load_tracker &tracker, time_point now)
{
    return placePrompt(requestOf(prompt), profile(), candidatesOf(keys, tracker, now), now);
}

// Baseline: parts of about 60 ms on the engines with the least pending prefill, whatever decodes there, and no waiting.
placement_decision placeBaseline(
    const simulated_prompt &prompt, const std::vector<server_key> &keys, const load_tracker &tracker, time_point now)
{
    auto candidates = candidatesOf(keys, tracker, now);
    std::stable_sort(candidates.begin(), candidates.end(), [](const placement_candidate &left, const placement_candidate &right) {
        return left.load.pendingPrefill < right.load.pendingPrefill;
    });
    const microseconds whole = prefillTime(profile(), prompt.promptTokens);
    const auto parts = std::clamp<std::int64_t>(whole / milliseconds(60) + 1, 1, static_cast<std::int64_t>(candidates.size()));
    placement_decision decision;
    decision.next = action::send;
    for (std::int64_t index = 0; index < parts; ++index) {
        const std::int64_t tokens = prompt.promptTokens + prompt.answerTokens;
        decision.parts.push_back({ candidates[index].key, whole / parts, index == 0 ? tokens / parts : 0, index == 0 ? tokens : 0 });
    }
    return decision;
}

struct load_class {
    double perSecond = 0.0;
    std::int64_t meanTokens = 0;
    std::int64_t mostTokens = 0;
    milliseconds latencyTarget{ 0 };
    milliseconds eventGapTarget{ 0 };
    std::int64_t answerTokens = 0;
};

std::vector<simulated_prompt> loadOf(const std::vector<load_class> &classes, std::uint64_t seed)
{
    random_source random(seed);
    std::vector<simulated_prompt> prompts;
    for (const load_class &each : classes) {
        double arrivesAtMs = 0.0;
        while (arrivesAtMs < 20'000.0) {
            arrivesAtMs += -std::log(1.0 - random.unit()) * 1'000.0 / each.perSecond;
            const double size = static_cast<double>(each.meanTokens) * (0.4 - 0.75 * std::log(1.0 - random.unit()));
            const auto tokens = std::min(each.mostTokens, static_cast<std::int64_t>(size));
            prompts.push_back({ static_cast<int>(arrivesAtMs), tokens, each.answerTokens, each.latencyTarget, each.eventGapTarget });
        }
    }
    std::stable_sort(prompts.begin(), prompts.end(), [](const simulated_prompt &left, const simulated_prompt &right) {
        return left.arrivesAt < right.arrivesAt;
    });
    return prompts;
}

load_class quickOf(double perSecond)
{
    return { perSecond, 4'960, 23'800, quickTarget, milliseconds(250), 1'360 };
}

load_class mediumOf(double perSecond)
{
    return { perSecond, 45'000, 110'000, mediumTarget, milliseconds(600), 820 };
}

load_class longOf(double perSecond)
{
    return { perSecond, 100'000, 220'000, longTarget, milliseconds(1'000), 680 };
}

int percentOf(const std::vector<simulated_prompt> &load, const engine_simulation::policy &policy, milliseconds target)
{
    engine_simulation model(profile(), engines);
    return percentOnTime(load, model.replay(load, policy), target);
}

simulated_prompt quickPrompt(int arrivesAt)
{
    return { arrivesAt, 5'000, 1'360, quickTarget, milliseconds(250) };
}

simulated_prompt longPrompt(std::int64_t tokens)
{
    return { 0, tokens, 680, longTarget, milliseconds(1'000) };
}

server_work quickStream(std::uint64_t request, server_key server)
{
    server_work stream;
    stream.request = request;
    stream.server = server;
    stream.isDecoding = true;
    stream.isLatencySensitive = true;
    return stream;
}

const std::vector<server_key> fourEngines{ 1, 2, 3, 4 };

} // namespace

// Long prompts at nearly three times their usual rate beside quick ones: prefill takes 10 of the 16 engines' time.
Test(prompt_placement, quickStreamsStayOnTimeBesideManyLongPrompts)
{
    const auto load = loadOf({ quickOf(13.0), mediumOf(2.4), longOf(3.6) }, 11);
    const int onTime = percentOf(load, place, quickTarget);
    const int baseline = percentOf(load, placeBaseline, quickTarget);
    cr_assert_geq(onTime, 90, "on time %d", onTime);
    cr_assert_gt(onTime, baseline, "on time %d, baseline %d", onTime, baseline);
    cr_assert_geq(percentOf(load, place, longTarget), 60);
}

// Quick prompts at over twice their usual rate with few long ones.
Test(prompt_placement, quickPromptsStayOnTimeInABurst)
{
    const auto load = loadOf({ quickOf(82.0), mediumOf(0.9), longOf(0.3) }, 12);
    cr_assert_geq(percentOf(load, place, quickTarget), 95);
}

Test(prompt_placement, quickAndMediumPromptsStayOnTimeInAMixedLoad)
{
    const auto load = loadOf({ quickOf(34.0), mediumOf(1.9), longOf(1.4) }, 13);
    cr_assert_geq(percentOf(load, place, quickTarget), 95);
    cr_assert_geq(percentOf(load, place, mediumTarget), 95);
}

Test(prompt_placement, consolidatesQuickStreamsOnOneEngineWithShortSteps)
{
    load_tracker tracker;
    tracker.add(quickStream(1, 3));
    const auto decision = place(quickPrompt(0), fourEngines, tracker, at(0));
    cr_assert(decision.next == action::send);
    expectEqual(decision.parts.front().server, server_key(3));
}

Test(prompt_placement, splitsALongPromptOverEnginesWithoutQuickStreams)
{
    load_tracker tracker;
    tracker.add(quickStream(1, 3));
    const auto decision = place(longPrompt(100'000), fourEngines, tracker, at(0));
    cr_assert(decision.next == action::send);
    expectEqual(decision.parts.size(), 3U);
    for (const placed_part &part : decision.parts) {
        cr_assert_neq(part.server, server_key(3));
    }
}

Test(prompt_placement, waitsWhileEnginesPrefillAndThereIsTime)
{
    load_tracker tracker;
    for (const server_key key : fourEngines) {
        server_work prefill;
        prefill.request = key;
        prefill.server = key;
        prefill.prefillTime = milliseconds(600);
        prefill.sentAt = at(0);
        tracker.add(prefill);
    }
    cr_assert(place(longPrompt(100'000), fourEngines, tracker, at(0)).next == action::wait);
}

Test(prompt_placement, aLongPromptDoesNotDisturbTooManyQuickStreams)
{
    load_tracker tracker;
    std::uint64_t request = 0;
    for (const server_key key : fourEngines) {
        for (int count = 0; count < 10; ++count) {
            tracker.add(quickStream(++request, key));
        }
    }
    // The prompt would disturb forty streams; its length justifies about ten.
    cr_assert(place(longPrompt(100'000), fourEngines, tracker, at(2'950)).next == action::wait);
    cr_assert(place(longPrompt(100'000), fourEngines, tracker, at(6'500)).next == action::refuse);
}

Test(prompt_placement, distributesTheMemoryOfAPromptBeyondOneEngine)
{
    const auto decision = place(longPrompt(300'000), fourEngines, load_tracker(), at(0));
    cr_assert(decision.next == action::send);
    std::int64_t held = 0;
    for (const placed_part &part : decision.parts) {
        cr_assert_leq(part.memoryTokens, profile().memoryTokens / 2);
        held += part.memoryTokens;
    }
    cr_assert_geq(held, 300'680);
}

Test(prompt_placement, refusesAtOnceWithoutAnyServer)
{
    const auto decision = placePrompt(requestOf(quickPrompt(0)), profile(), {}, at(0));
    cr_assert(decision.next == action::refuse);
    cr_assert_gt(decision.retryAfter.count(), 0);
}

Test(prompt_placement, anInterruptedStreamMayWaitInAnEnginesQueue)
{
    std::vector<placement_candidate> full = candidatesOf({ 1 }, load_tracker(), at(0));
    full.front().load.requests = full.front().slots;
    placement_request request = requestOf(quickPrompt(0));
    cr_assert(placePrompt(request, profile(), full, at(0)).next == action::wait);
    request.isInterrupted = true;
    cr_assert(placePrompt(request, profile(), full, at(0)).next == action::send);
}

Test(prompt_placement, lateRequestsLeaveTheLastSlotsFree)
{
    std::vector<placement_candidate> nearlyFull = candidatesOf({ 1 }, load_tracker(), at(0));
    nearlyFull.front().load.requests = nearlyFull.front().slots - 1;
    const placement_request request = requestOf(quickPrompt(0));
    cr_assert(placePrompt(request, profile(), nearlyFull, at(0)).next == action::send);
    cr_assert(placePrompt(request, profile(), nearlyFull, at(500)).next == action::wait);
    cr_assert(placePrompt(request, profile(), nearlyFull, at(1'100)).next == action::refuse);
}
