#include "placement/internal/backend_state.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::placement;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{ std::chrono::hours(1) };
constexpr token_count capacity = 1'000'000;
constexpr token_count longPrompt = 200'000;
constexpr int urgent = 0;

work_item workOf(const std::string &attempt, token_count tokens)
{
    work_item work;
    work.attempt = attempt_id(attempt);
    work.promptTokens = tokens;
    work.maxNewTokens = 10;
    return work;
}

engine_report reportAt(time_point takenAt, bool warm)
{
    engine_report report;
    report.incarnation = 1;
    report.takenAt = takenAt;
    report.warm = warm;
    report.memoryTokens = capacity;
    report.prefillTokensPerSecond = 10'000;
    return report;
}

/// Engine with a cold limit of 2 and a warm one of 8, owned for longer than the wait for the previous owner.
struct engine_fixture {
    engine_fixture()
        : state(server(), options)
    {
        membership::backend_assignment assignment;
        assignment.acceptsNewWork = true;
        state.configure(server(), assignment, false);
    }

    static config::backend_server server()
    {
        config::backend_server made;
        made.id = backend_server_id("g1");
        made.memoryTokens = capacity;
        made.coldRequests = 2;
        made.warmRequests = 8;
        return made;
    }

    void complete(int count)
    {
        for (int number = 0; number < count; ++number) {
            const work_item work = workOf("w" + std::to_string(number), 10);
            state.recordSend(work, urgent, start);
            state.end(work.attempt, std::nullopt, start);
        }
    }

    placement_options options;
    backend_state state;
};

} // namespace

Test(backend_state, aReportTakenBeforeAResetDoesNotMakeItWarm)
{
    engine_fixture engine;
    engine.state.applyReport(reportAt(start, false), start + 1s);
    engine.state.applyReport(reportAt(start + 500ms, true), start + 2s);
    engine.complete(12);
    testing::expectEqual(engine.state.limit(start + 2s), 2);
}

Test(backend_state, anOlderReportIsDropped)
{
    engine_fixture engine;
    engine.state.applyReport(reportAt(start, true), start);
    engine.complete(12);
    testing::expectEqual(engine.state.limit(start), 8);
    engine.state.applyReport(reportAt(start - 1s, false), start + 1s);
    testing::expectEqual(engine.state.limit(start + 1s), 8);
}

Test(backend_state, aLateFirstTokenResetsTheLimit)
{
    engine_fixture engine;
    engine.state.applyReport(reportAt(start, true), start);
    engine.complete(12);
    engine.state.recordSend(workOf("a", 10), urgent, start);
    engine.state.firstToken(attempt_id("a"), start + 5s);
    testing::expectEqual(engine.state.limit(start + 5s), 2);
}

Test(backend_state, aGroupHoldOccupiesASlot)
{
    engine_fixture engine;
    cr_assert(engine.state.memory().hold("group", 1000, start + 10s, start));
    testing::expectEqual(engine.state.freeSlots(start), 1);
}

Test(backend_state, takesNoWorkBeyondItsMemory)
{
    engine_fixture engine;
    cr_assert(engine.state.hasMemoryFor(workOf("a", 10)));
    cr_assert(engine.state.memory().hold("group", capacity - 15, start + 10s, start));
    cr_assert_not(engine.state.hasMemoryFor(workOf("a", 10)));
}

Test(backend_state, aLongPromptLeavesMemoryToShorterOnes)
{
    engine_fixture engine;
    cr_assert(engine.state.memory().hold("group", capacity - longPrompt - 1000, start + 10s, start));
    cr_assert_not(engine.state.hasMemoryFor(workOf("a", longPrompt)));
    cr_assert(engine.state.hasMemoryFor(workOf("b", 1000)));
}

Test(backend_state, takesOneLongPromptInPrefillAtATime)
{
    engine_fixture engine;
    const int leastUrgent = leastUrgentPriority;
    engine.state.recordSend(workOf("a", longPrompt), leastUrgent, start);
    cr_assert_not(engine.state.hasBacklogRoomFor(workOf("b", longPrompt), urgent, start));
    cr_assert(engine.state.hasBacklogRoomFor(workOf("c", 10), urgent, start));
}

Test(backend_state, aLongPromptLeavesTheLastSlotOfAWarmEngine)
{
    engine_fixture engine;
    engine.state.applyReport(reportAt(start, true), start);
    engine.complete(12);
    for (int number = 0; number < 7; ++number) {
        engine.state.recordSend(workOf("r" + std::to_string(number), 10), urgent, start);
    }
    cr_assert_not(engine.state.hasSlotFor(workOf("a", longPrompt), start));
    cr_assert(engine.state.hasSlotFor(workOf("b", 10), start));
}

Test(backend_state, countsPrefillThatOnlyTheEngineReports)
{
    engine_fixture engine;
    engine_report report = reportAt(start, true);
    report.queuedPrefillTokens = 5000;
    engine.state.applyReport(report, start);
    cr_assert(engine.state.backlog().tokensAhead(urgent, start) > 4999);
}
