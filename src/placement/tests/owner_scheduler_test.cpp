#include "placement/tests/script_runner.h"

#include "testing/expect.h"

#include <map>
#include <sstream>
#include <utility>

using namespace mustardtrail;
using placement::tests::script_runner;
using std::chrono::milliseconds;

namespace
{

std::size_t countOf(const std::string &text, const std::string &word)
{
    std::size_t count = 0;
    for (auto found = text.find(word); found != std::string::npos; found = text.find(word, found + 1)) {
        ++count;
    }
    return count;
}

bool has(const std::string &text, const std::string &word)
{
    return countOf(text, word) > 0;
}

/// Admits short prompts with a long target and returns the output.
std::string admitMany(script_runner &runner, int count, const std::string &name, const std::string &more = "")
{
    std::string result;
    for (int number = 0; number < count; ++number) {
        std::string line("20 admit tokens=10 target=60000 " + more + " id=" + name);
        line += std::to_string(number);
        result += runner.run(line);
    }
    return result;
}

/// Runs requests to completion one after another, which lets a warm engine's limit grow.
void completeOneByOne(script_runner &runner, int count, int from)
{
    for (int number = 0; number < count; ++number) {
        const std::string at = std::to_string(from + number);
        const std::string id = " id=w" + at;
        runner.runAll({ at + " admit tokens=10" + id, at + " first" + id, at + " finished" + id });
    }
}

/// Engine with memory for one long prompt or four medium ones, under a steady load of medium prompts.
struct crowded_engine {
    crowded_engine()
    {
        runner.run("0 view drained=g2");
        report(0);
        completeOneByOne(runner, 12, 1);
    }

    /// Runs until the given time; a dispatched prompt produces its first token after firstAfter milliseconds and ends after 9 s.
    void runUntil(int end)
    {
        for (; now < end; now += 500) {
            runner.run(std::to_string(now) + " view drained=g2");
            for (const std::string &line : std::exchange(due[now], {})) {
                step(line);
            }
            if (now % interval == 0) {
                const std::string id = "m" + std::to_string(now);
                const std::string answer = step("admit " + medium + " id=" + id);
                refusedAtOnce += has(answer, "refuse " + id + " code=MT-4001") ? 1 : 0;
            }
            step("tick");
        }
    }

    std::string step(const std::string &line)
    {
        const std::string out = runner.run(std::to_string(now) + " " + line);
        std::istringstream words(out);
        for (std::string word; words >> word;) {
            if (word == "dispatch" && words >> word) {
                due[now + firstAfter].push_back("first id=" + word);
                due[now + 9000].push_back("finished id=" + word);
            }
        }
        trace += out;
        return out;
    }

    void report(int at)
    {
        runner.run(std::to_string(at) + " report backend=g1 memory=400000 rate=50000");
    }

    script_runner runner;
    std::map<int, std::vector<std::string>> due;
    std::string trace;
    int now = 500;
    int firstAfter = 2000;
    int interval = 3000; ///< Milliseconds between two medium prompts.
    std::string medium = "tokens=90000 target=10000";
    int refusedAtOnce = 0;
};

} // namespace

Test(owner_scheduler, neverExceedsTheColdLimitOfAnEngineThatReportsCold)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1 warm=0" });
    completeOneByOne(runner, 12, 1);
    testing::expectEqual(countOf(admitMany(runner, 8, "a"), "dispatch"), std::size_t{ 2 });
}

Test(owner_scheduler, growsToTheWarmLimitAndNotBeyond)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1" });
    completeOneByOne(runner, 12, 1);
    testing::expectEqual(countOf(admitMany(runner, 12, "a"), "dispatch"), std::size_t{ 8 });
}

Test(owner_scheduler, resetsTheLimitOnAFailureANewIncarnationAndALostCache)
{
    for (const char *fault : { "30 failed id=b", "30 report backend=g1 incarnation=2", "30 event backend=g1 seq=1" }) {
        script_runner runner;
        runner.runAll({ "0 view drained=g2", "0 report backend=g1", "0 event backend=g1 seq=7" });
        completeOneByOne(runner, 12, 1);
        testing::expectEqual(runner.stateOf("g1", "limit", milliseconds(20)), 8);
        runner.runAll({ "20 admit id=b tokens=10", fault });
        testing::expectEqual(runner.stateOf("g1", "limit", milliseconds(30)), 2);
    }
}

Test(owner_scheduler, staysAtTheColdLimitUntilThePreviousOwnerCanNoLongerSend)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2 since=0", "0 report backend=g1" });
    completeOneByOne(runner, 12, 1);
    testing::expectEqual(runner.stateOf("g1", "limit", milliseconds(3999)), 2);
    testing::expectEqual(runner.stateOf("g1", "limit", milliseconds(4000)), 8);
}

Test(owner_scheduler, staysAtTheColdLimitWhileIsolated)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1" });
    completeOneByOne(runner, 12, 1);
    runner.run("20 view drained=g2 isolated=1");
    testing::expectEqual(countOf(admitMany(runner, 12, "a"), "dispatch"), std::size_t{ 2 });
}

Test(owner_scheduler, sendsNothingOnAViewThatIsNotConfirmed)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1" });
    admitMany(runner, 4, "a");
    const std::string late = runner.runAll({ "1000 admit id=late", "1000 finished id=a0", "1000 report backend=g1", "1000 tick" });
    testing::expectEqual(countOf(late, "dispatch"), std::size_t{ 0 });
    cr_assert(has(late, "refuse late code=MT-4008 verdict=not_run"));
    cr_assert(has(late, "refuse a3 code=MT-4008 verdict=not_run"));
}

Test(owner_scheduler, countsForeignStreamsAgainstItsLimit)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1 running=1 used=500 streams=x:500:1" });
    testing::expectEqual(countOf(admitMany(runner, 4, "a"), "dispatch"), std::size_t{ 1 });
}

Test(owner_scheduler, queuesAnAttemptWhenNoSlotIsFreeAndItsTargetAllows)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1" });
    testing::expectEqual(countOf(admitMany(runner, 3, "a"), "dispatch"), std::size_t{ 2 });
    cr_assert(has(runner.run("500 finished id=a0"), "dispatch a2"));
}

Test(owner_scheduler, removesAQueuedAttemptThatIsCancelled)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1" });
    admitMany(runner, 3, "a");
    testing::expectEqual(runner.run("100 cancel id=a2"), "");
    testing::expectEqual(runner.run("500 finished id=a0"), "");
}

Test(owner_scheduler, refusesTheCustomerThatIsOverItsShareFirst)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1" });
    std::string large;
    for (int number = 0; number < 40; ++number) {
        std::string line("10 admit customer=large tokens=2000 id=l");
        line += std::to_string(number);
        large += runner.run(line);
    }
    const std::string small = runner.runAll({ "10 admit id=s0 customer=s0 tokens=2000", "10 admit id=s1 customer=s1 tokens=2000" });
    cr_assert(has(large, "MT-4001"));
    cr_assert_not(has(small, "refuse"));
}

Test(owner_scheduler, avoidsExcludedBackends)
{
    script_runner runner;
    runner.runAll({ "0 view", "0 report backend=g1", "0 report backend=g2" });
    const std::string out = admitMany(runner, 4, "a", "excluded=g1");
    testing::expectEqual(countOf(out, "backend=g2"), std::size_t{ 2 });
    testing::expectEqual(countOf(out, "backend=g1"), std::size_t{ 0 });
    // The request has failed on every server before: the one with a free slot is tried again.
    const std::string again = runner.run("20 admit id=b excluded=g1,g2");
    testing::expectEqual(countOf(again, "backend=g1"), std::size_t{ 1 });
    cr_assert_not(has(again, "refuse"));
}

Test(owner_scheduler, holdIsAllOrNothing)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1", "0 admit id=a tokens=50000 target=9000" });
    testing::expectEqual(runner.run("10 hold group=k backend=g1 tokens=60000 until=900"), "not held\n");
    testing::expectEqual(runner.stateOf("g1", "held_for_groups_tokens", milliseconds(10)), 0);
    testing::expectEqual(runner.run("10 hold group=k backend=g1 tokens=40000 until=900"), "held\n");
    runner.run("20 release group=k");
    testing::expectEqual(runner.stateOf("g1", "held_for_groups_tokens", milliseconds(20)), 0);
}

Test(owner_scheduler, freesTheMemoryOfACancelledAttemptWhoseEndWasLost)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1", "0 admit id=a", "500 cancel id=a" });
    runner.run("1000 report backend=g1");
    testing::expectEqual(runner.stateOf("g1", "free_tokens", milliseconds(1000)), 98900);
    runner.run("2600 report backend=g1");
    testing::expectEqual(runner.stateOf("g1", "free_tokens", milliseconds(2600)), 100000);
}

Test(owner_scheduler, removesABackendOfAnotherOwnerAfterItsLastAttempt)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1", "0 admit id=a", "500 cancel id=a", "600 view lost=g1" });
    testing::expectEqual(runner.stateOf("g1", "running", milliseconds(600)), 1);
    testing::expectEqual(runner.run("2600 report backend=g1"), "");
    testing::expectEqual(runner.stateOf("g1", "running", milliseconds(2600)), -1);
}

Test(owner_scheduler, sendsAnAdmittedLongPromptInTimeAndRefusesLaterOnesAtOnce)
{
    crowded_engine engine;
    engine.runUntil(12000);
    cr_assert_not(has(engine.step("admit tokens=150000 target=60000 id=long"), "refuse"));
    engine.runUntil(72000);
    cr_assert(has(engine.trace, "dispatch long "));
    cr_assert_not(has(engine.trace, "refuse long "));
    cr_assert(engine.refusedAtOnce > 0);
}

Test(owner_scheduler, claimsMemoryForALongPromptThatShorterOnesKeepOvertaking)
{
    crowded_engine engine;
    engine.firstAfter = 500;
    engine.interval = 1500;
    engine.medium = "tokens=45000 target=30000";
    engine.runUntil(12000);
    cr_assert_not(has(engine.step("admit tokens=150000 target=60000 id=long"), "refuse"));
    engine.runUntil(72000);
    cr_assert(has(engine.trace, "dispatch long "));
    cr_assert_not(has(engine.trace, "refuse long "));
}

Test(owner_scheduler, dropsTheClaimOfACancelledQueuedPrompt)
{
    script_runner runner;
    runner.runAll({ "0 view drained=g2", "0 report backend=g1", "0 admit id=a tokens=60000 target=10000" });
    runner.runAll({ "0 admit id=b tokens=60000 target=10000", "900 view drained=g2", "900 tick" });
    testing::expectEqual(runner.stateOf("g1", "claimed_tokens", milliseconds(900)), 0);
    runner.runAll({ "1500 view drained=g2", "1500 tick" });
    testing::expectEqual(runner.stateOf("g1", "claimed_tokens", milliseconds(1500)), 60100);
    runner.runAll({ "1500 cancel id=b", "1500 tick" });
    testing::expectEqual(runner.stateOf("g1", "claimed_tokens", milliseconds(1500)), 0);
}
