#include "gateway/placement_spill.h"
#include "gateway/prompt_placement.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using action = placement_decision::action;
using std::chrono::milliseconds;

namespace
{

engine_profile profile()
{
    engine_profile engine;
    engine.slots = 10;
    engine.memoryTokens = 232'000;
    engine.prefillTokensPerMs = 206.0;
    engine.tokenStepMs = 1.02;
    engine.tokenStepsPerBatchStep = 68;
    return engine;
}

placement_request quickPrompt()
{
    placement_request request;
    request.promptTokens = 5'000;
    request.answerTokens = 1'000;
    request.eventGapTarget = milliseconds(250);
    request.arrivedAt = at(0);
    request.firstEventDueAt = at(400);
    request.callerTimeoutAt = at(2'000);
    request.deadline = at(10'000);
    return request;
}

std::vector<placement_candidate> cellOf(server_key first, size_t count, bool areSuspected, milliseconds pending)
{
    std::vector<placement_candidate> cell;
    for (server_key key = first; key < first + count; ++key) {
        placement_candidate candidate;
        candidate.key = key;
        candidate.slots = 10;
        candidate.isSuspected = areSuspected;
        candidate.load.pendingPrefill = pending;
        cell.push_back(std::move(candidate));
    }
    return cell;
}

placement_decision place(const std::vector<placement_candidate> &near, const std::vector<placement_candidate> &far)
{
    std::vector<placement_candidate> all = near;
    all.insert(all.end(), far.begin(), far.end());
    const placement_request request = quickPrompt();
    return chooseCell(placePrompt(request, profile(), near, at(0)), placePrompt(request, profile(), all, at(0)));
}

} // namespace

Test(placement_spill, requestStaysInItsCellWhileThatIsOnTime)
{
    const auto decision = place(cellOf(1, 5, false, milliseconds(50)), cellOf(100, 5, false, milliseconds(0)));
    cr_assert(decision.next == action::send);
    cr_assert_lt(decision.parts.front().server, 100U);
}

// All servers of a data centre gone at once: each request tried six of them in turn and was refused.
Test(placement_spill, requestLeavesACellWhoseServersAreAllSuspected)
{
    const auto decision = place(cellOf(1, 5, true, milliseconds(0)), cellOf(100, 5, false, milliseconds(50)));
    cr_assert(decision.next == action::send);
    cr_assert_geq(decision.parts.front().server, 100U);
}

// Sending what was only late elsewhere moved the lateness there, with more refusals by servers whose load was known late.
Test(placement_spill, requestThatWouldOnlyBeLateStaysInItsCell)
{
    const auto near = cellOf(1, 5, false, milliseconds(900));
    const auto decision = place(near, cellOf(100, 5, false, milliseconds(50)));
    const auto alone = placePrompt(quickPrompt(), profile(), near, at(0));
    cr_assert(decision.next == alone.next);
    cr_assert(decision.parts.empty() || decision.parts.front().server < 100U);
}

Test(placement_spill, promptBeyondOneEngineLeavesACellThatHasNoRoomForIt)
{
    auto near = cellOf(1, 5, false, milliseconds(50));
    for (placement_candidate &each : near) {
        each.load.latencySensitiveRequests = 1;
    }
    auto all = near;
    const auto far = cellOf(100, 20, false, milliseconds(0));
    all.insert(all.end(), far.begin(), far.end());
    placement_request request = quickPrompt();
    request.promptTokens = 400'000;
    request.eventGapTarget = milliseconds(1'000);
    request.firstEventDueAt = at(3'000);
    request.callerTimeoutAt = at(12'000);
    const auto inOwnCell = placePrompt(request, profile(), near, at(0));
    cr_assert(inOwnCell.next == action::wait);
    const auto decision = chooseCell(inOwnCell, placePrompt(request, profile(), all, at(0)));
    cr_assert(decision.next == action::send);
    cr_assert_geq(decision.parts.front().server, 100U);
}

Test(placement_spill, quickRequestWaitsForASlotInItsCell)
{
    auto near = cellOf(1, 5, false, milliseconds(50));
    for (placement_candidate &each : near) {
        each.load.requests = 10;
    }
    cr_assert(place(near, cellOf(100, 5, false, milliseconds(50))).next == action::wait);
}

Test(placement_spill, cellWithoutServersUsesThoseOfOthers)
{
    const auto decision = place({}, cellOf(100, 5, false, milliseconds(0)));
    cr_assert(decision.next == action::send);
}
