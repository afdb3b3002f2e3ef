#include "proof/fleet/background_load.h"
#include "proof/fleet/eventually.h"
#include "proof/fleet/expected_answer.h"
#include "proof/tests/test_fleet.h"

#include "testing/expect.h"

#include <future>

using namespace mustardtrail;
using namespace mustardtrail::proof;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr size_t longPrompt = 1'800'000; // Bytes; 450,000 tokens on engines of 200,000.
constexpr int tokens = 60;

void expectWhole(const caller_answer &answer, size_t promptBytes, int count)
{
    expectEqual(answer.status, 200);
    cr_assert(answer.isWhole);
    expectEqual(answerText(answer), expectedAnswer(promptBytes, count));
}

std::future<caller_answer> completeLater(process_fleet &fleet, size_t instance, const char *workClass, size_t bytes, int count)
{
    return std::async(std::launch::async, [&fleet, instance, workClass, bytes, count] {
        return fleet.complete(fleet.instances[instance], workClass, bytes, count);
    });
}

} // namespace

Test(engine_faults, anAnswerIsWholeWhenItsConnectionBreaksInTheMiddle)
{
    const auto fleet = startedFleet();
    for (const fleet_backend &engine : fleet->engines) {
        control(engine.control, R"({"drop_mid_stream_after":3})");
    }
    expectWhole(fleet->complete(fleet->instances[1], "lookup", shortPrompt, tokens), shortPrompt, tokens);
}

Test(engine_faults, anAnswerGoesOnElsewhereWhenItsEngineLosesEveryStream)
{
    const auto fleet = startedFleet();
    auto answer = completeLater(*fleet, 0, "lookup", shortPrompt, 200);
    const fleet_backend *serving = nullptr;
    cr_assert(eventually([&] {
        for (const fleet_backend &engine : fleet->engines) {
            if (counterOf(engine.control, "running") > 0) {
                serving = &engine;
            }
        }
        return serving != nullptr;
    }));
    control(serving->control, R"({"restart":true})");
    expectWhole(answer.get(), shortPrompt, 200);
}

Test(engine_faults, aKilledEngineLosesNoRequest)
{
    const auto fleet = startedFleet();
    background_load load(*fleet, { 0, 1, 2 }, 3, 20);
    cr_assert(eventually([&] {
        return load.finished() > 10;
    }));
    fleet->engines[0].process->kill();
    const int before = load.finished();
    cr_assert(eventually([&] {
        return load.finished() > before + 30;
    }));
    load.stop();
    expectNoFaults(load);
}

Test(engine_faults, memoryIsFreeAfterTheCallerLeaves)
{
    const auto fleet = startedFleet();
    {
        auto answer = completeLater(*fleet, 0, "lookup", shortPrompt, 10);
        expectWhole(answer.get(), shortPrompt, 10);
    }
    cr_assert(eventually([&] {
        return allMemoryIsFree(*fleet);
    }));
}

Test(engine_faults, aPromptBeyondTwoEnginesIsAnsweredThroughEveryInstance)
{
    const auto fleet = startedFleet();
    for (size_t instance = 0; instance < fleet->instances.size(); ++instance) {
        expectWhole(fleet->complete(fleet->instances[instance], "review", longPrompt, 10), longPrompt, 10);
    }
    cr_assert(eventually([&] {
        return allMemoryIsFree(*fleet);
    }));
}

Test(engine_faults, aPromptBeyondTheFleetIsRefusedAtOnceAsNotRun)
{
    const auto fleet = startedFleet();
    const caller_answer answer = fleet->complete(fleet->instances[0], "review", 4 * 900'000, 10);
    expectEqual(answer.status, 400);
    expectEqual(std::string(answer.headers.find("Mustardtrail-Verdict")), "not_run");
    cr_assert(answer.body.find("MT-4004") != std::string::npos);
}

Test(engine_faults, memoryOfALongPromptIsFreedWhenAnEngineOrTheEntryDies)
{
    const auto fleet = startedFleet();
    auto answer = completeLater(*fleet, 1, "review", longPrompt, 2'000);
    cr_assert(eventually([&] {
        return !allMemoryIsFree(*fleet);
    }));
    fleet->instances[1].entryProcess->kill();
    expectEqual(answer.get().isWhole, false);
    cr_assert(eventually(
        [&] {
            return allMemoryIsFree(*fleet);
        },
        std::chrono::seconds(40)));
}

Test(engine_faults, aColdEngineGetsNoMoreThanItBears)
{
    fleet_options options;
    options.warmAfter = 1'000'000;
    const auto fleet = startedFleet(options);
    {
        background_load load(*fleet, { 0, 1, 2 }, 24, 40);
        cr_assert(eventually(
            [&] {
                return load.finished() > 60;
            },
            std::chrono::seconds(60)));
        load.stop();
    }
    for (const fleet_backend &engine : fleet->engines) {
        expectEqual(counterOf(engine.control, "fallen_over"), 0);
    }
}

Test(engine_faults, anEngineThatTurnsColdUnannouncedGetsLittleWorkAgain)
{
    fleet_options options;
    options.warmAfter = 2;
    options.enginesPerDataCentre = { 1, 1, 1 };
    const auto fleet = startedFleet(options);
    {
        background_load load(*fleet, { 0, 1, 2 }, 9, 20);
        cr_assert(eventually(
            [&] {
                return load.finished() > 100;
            },
            std::chrono::seconds(60)));
        load.stop();
    }
    control(fleet->engines[0].control, R"({"restart":true})");
    {
        background_load load(*fleet, { 0, 1, 2 }, 1, 5);
        cr_assert(eventually(
            [&] {
                return load.finished() > 20;
            },
            std::chrono::seconds(60)));
    }
    expectEqual(counterOf(fleet->engines[0].control, "fallen_over"), 0);
}
