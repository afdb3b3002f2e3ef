#include "gateway/prompt_quarantine.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr prompt_part guilty = 1;
constexpr prompt_part popular = 2;
constexpr prompt_part rare = 3;
constexpr prompt_part repeated = asOwnPart(4);
constexpr milliseconds crashDelay{ 300 }; // From the send to the end of the server.

time_point at(milliseconds time)
{
    return time_point(seconds(100)) + time;
}

bool isQuarantined(const prompt_quarantine &quarantine, prompt_part part)
{
    return quarantine.quarantinedUntil({ part }).has_value();
}

/// Server number `server` ends at `time`, `crashDelay` after a request with these parts was sent to it.
void crash(prompt_quarantine &quarantine, server_start_key server, const std::vector<prompt_part> &parts, milliseconds time)
{
    quarantine.recordCrash(server, parts, at(time - crashDelay), at(time));
}

void crashThreeServers(prompt_quarantine &quarantine, prompt_part part)
{
    for (int number = 1; number <= 3; ++number) {
        crash(quarantine, static_cast<server_start_key>(number), { part }, milliseconds(400 * number));
    }
}

} // namespace

Test(prompt_quarantine, aPartUnderWhichServersEndOneAfterTheOtherIsSentNoMore)
{
    prompt_quarantine quarantine;
    crash(quarantine, 1, { guilty }, milliseconds(400));
    crash(quarantine, 2, { guilty }, milliseconds(800));
    cr_assert_not(isQuarantined(quarantine, guilty));
    crash(quarantine, 3, { guilty }, milliseconds(1'200));
    cr_assert(isQuarantined(quarantine, guilty));
    cr_assert_not(isQuarantined(quarantine, popular));
}

Test(prompt_quarantine, oneCrashSeenByManyRequestsCountsOnce)
{
    prompt_quarantine quarantine;
    for (int count = 0; count < 10; ++count) {
        crash(quarantine, 1, { guilty }, milliseconds(400 + count * 400));
    }
    cr_assert_not(isQuarantined(quarantine, guilty));
}

Test(prompt_quarantine, serversThatEndAtOneMomentConvictNoPart)
{
    prompt_quarantine quarantine;
    for (server_start_key server = 1; server <= 20; ++server) {
        crash(quarantine, server, { popular }, milliseconds(400 + static_cast<int>(server)));
    }
    cr_assert_not(isQuarantined(quarantine, popular));
}

Test(prompt_quarantine, copiesOfARequestInFlightTogetherThatEndServersOneByOneCountEach)
{
    prompt_quarantine quarantine;
    for (const int endsAt : { 400, 520, 700 }) {
        quarantine.recordCrash(static_cast<server_start_key>(endsAt), { repeated }, at(milliseconds(300)), at(milliseconds(endsAt)));
    }
    cr_assert(isQuarantined(quarantine, repeated));
}

Test(prompt_quarantine, copiesOfARequestAtServersThatEndAtOneMomentConvictNoRequest)
{
    prompt_quarantine quarantine;
    for (server_start_key server = 1; server <= 20; ++server) {
        crash(quarantine, server, { repeated }, milliseconds(400 + static_cast<int>(server)));
    }
    cr_assert_not(isQuarantined(quarantine, repeated));
}

Test(prompt_quarantine, aPartOnWhichAnswersAreWrittenIsNoSuspect)
{
    prompt_quarantine quarantine;
    for (int number = 1; number <= 20; ++number) {
        crash(quarantine, static_cast<server_start_key>(number), { guilty, popular }, milliseconds(400 * number));
        quarantine.recordWritten({ popular }, at(milliseconds(400 * number + 50)));
    }
    cr_assert(isQuarantined(quarantine, guilty));
    cr_assert_not(isQuarantined(quarantine, popular));
}

Test(prompt_quarantine, aPartThatIsThereAtSomeOfTheCrashesIsNotBlamedForThem)
{
    prompt_quarantine quarantine;
    for (int number = 1; number <= 12; ++number) {
        const bool isRareThere = number % 2 == 0;
        const std::vector<prompt_part> parts = isRareThere ? std::vector<prompt_part>{ guilty, rare } : std::vector<prompt_part>{ guilty };
        crash(quarantine, static_cast<server_start_key>(number), parts, milliseconds(400 * number));
    }
    cr_assert(isQuarantined(quarantine, guilty));
    cr_assert_not(isQuarantined(quarantine, rare));
}

Test(prompt_quarantine, twoPartsThatCrashServersAreBothFound)
{
    constexpr prompt_part other = 9;
    prompt_quarantine quarantine;
    for (int number = 1; number <= 8; ++number) {
        crash(quarantine, static_cast<server_start_key>(number), { number % 2 == 0 ? guilty : other }, milliseconds(400 * number));
    }
    cr_assert(isQuarantined(quarantine, guilty));
    cr_assert(isQuarantined(quarantine, other));
}

Test(prompt_quarantine, partsThatAlwaysComeTogetherAreBothHeldBackInTheEnd)
{
    prompt_quarantine quarantine;
    for (int number = 1; number <= 5; ++number) {
        crash(quarantine, static_cast<server_start_key>(number), { guilty, rare }, milliseconds(400 * number));
    }
    cr_assert_not(isQuarantined(quarantine, guilty));
    cr_assert_not(isQuarantined(quarantine, rare));
    crash(quarantine, 6, { guilty, rare }, milliseconds(2'400));
    cr_assert(isQuarantined(quarantine, rare)); // The narrower one.
    for (int number = 7; number <= 9; ++number) {
        crash(quarantine, static_cast<server_start_key>(number), { guilty }, milliseconds(400 * number));
    }
    cr_assert(isQuarantined(quarantine, guilty));
    cr_assert(isQuarantined(quarantine, rare));
}

Test(prompt_quarantine, instancesThatEachSawOneCrashKnowThePartTogether)
{
    prompt_quarantine first;
    prompt_quarantine second;
    prompt_quarantine third;
    crash(first, 1, { guilty }, milliseconds(400));
    crash(second, 2, { guilty }, milliseconds(800));
    crash(third, 3, { guilty }, milliseconds(1'200));
    const time_point now = at(milliseconds(1'210));
    for (int round = 0; round < 3; ++round) { // News that comes again changes nothing.
        first.merge(second.news(prompt_quarantine::newsMaxAge, now), now);
        first.merge(third.news(prompt_quarantine::newsMaxAge, now), now);
    }
    cr_assert(isQuarantined(first, guilty));
    // An instance that has seen nothing hears of it from any other.
    prompt_quarantine started;
    started.merge(first.news(prompt_quarantine::newsMaxAge, at(seconds(8))), at(seconds(8)));
    cr_assert(isQuarantined(started, guilty));
}

Test(prompt_quarantine, anAnswerThatAnotherInstanceRelaysClearsThePartHere)
{
    prompt_quarantine here;
    prompt_quarantine there;
    crash(here, 1, { popular }, milliseconds(400));
    crash(here, 2, { popular }, milliseconds(800));
    there.merge(here.news(prompt_quarantine::newsMaxAge, at(milliseconds(810))), at(milliseconds(810)));
    there.recordWritten({ popular }, at(milliseconds(900)));
    here.merge(there.news(prompt_quarantine::newsMaxAge, at(milliseconds(910))), at(milliseconds(910)));
    crash(here, 3, { popular }, milliseconds(1'400));
    cr_assert_not(isQuarantined(here, popular));
}

Test(prompt_quarantine, oneTrialAfterEachDelayAndALongerDelayAfterEachFailedOne)
{
    prompt_quarantine quarantine;
    crashThreeServers(quarantine, guilty);
    time_point now = at(milliseconds(1'200));
    cr_assert_not(quarantine.tryTrial({ guilty }, now + seconds(9)));
    int trials = 0;
    for (int second = 0; second < 120; ++second) {
        now += seconds(1);
        if (quarantine.tryTrial({ guilty }, now)) {
            ++trials;
            quarantine.recordCrash(static_cast<server_start_key>(100 + trials), { guilty }, now, now + milliseconds(200));
        }
    }
    expectEqual(trials, 2);
}

Test(prompt_quarantine, aPartThatEndsServersForGoodReachesAtMostThreeMoreInTenMinutes)
{
    prompt_quarantine quarantine;
    crashThreeServers(quarantine, guilty);
    int trials = 0;
    for (time_point now = at(seconds(2)); now < at(prompt_quarantine::maxTrialDelay); now += milliseconds(500)) {
        if (quarantine.tryTrial({ guilty }, now)) {
            ++trials;
            quarantine.recordCrash(static_cast<server_start_key>(100 + trials), { guilty }, now, now + milliseconds(200));
        }
    }
    cr_assert_leq(trials, 3);
}

Test(prompt_quarantine, aTrialThatIsAnsweredReleasesThePartEverywhere)
{
    prompt_quarantine here;
    crashThreeServers(here, guilty);
    prompt_quarantine there;
    there.merge(here.news(prompt_quarantine::newsMaxAge, at(seconds(2))), at(seconds(2)));
    cr_assert(isQuarantined(there, guilty));
    cr_assert(here.tryTrial({ guilty }, at(seconds(12))));
    here.recordWritten({ guilty }, at(seconds(13)));
    cr_assert_not(isQuarantined(here, guilty));
    there.merge(here.news(prompt_quarantine::newsMaxAge, at(seconds(13))), at(seconds(13)));
    cr_assert_not(isQuarantined(there, guilty));
    // Old news from an instance that has not heard of it does not bring the quarantine back.
    prompt_quarantine late;
    crashThreeServers(late, guilty);
    here.merge(late.news(prompt_quarantine::newsMaxAge, at(seconds(2))), at(milliseconds(13'100)));
    cr_assert_not(isQuarantined(here, guilty));
}

Test(prompt_quarantine, partsThatNeverComeAgainDoNotFillTheMemory)
{
    prompt_quarantine quarantine;
    for (int number = 1; number <= 2'000; ++number) {
        std::vector<prompt_part> parts;
        for (int part = 0; part < 200; ++part) {
            parts.push_back(static_cast<prompt_part>(number) * 1'000 + static_cast<prompt_part>(part));
        }
        crash(quarantine, static_cast<server_start_key>(number), parts, milliseconds(400 + 10 * number));
    }
    const auto news = quarantine.news(prompt_quarantine::newsMaxAge, at(seconds(21)));
    cr_assert_leq(news.crashes.size(), prompt_quarantine::maxCrashes);
    for (const crash_evidence &each : news.crashes) {
        cr_assert_leq(each.sentAt.size(), prompt_quarantine::maxPartsPerCrash);
    }
    expectEqual(quarantine.size(), 0U);
}

Test(prompt_quarantine, aReleaseReachesAnInstanceThatWasCutOffWhenItWasTold)
{
    prompt_quarantine here;
    prompt_quarantine cutOff;
    crashThreeServers(here, guilty);
    crashThreeServers(cutOff, guilty);
    cr_assert(here.tryTrial({ guilty }, at(seconds(12))));
    here.recordWritten({ guilty }, at(seconds(13)));
    const time_point met = at(seconds(20));
    here.merge(cutOff.news(prompt_quarantine::newsMaxAge, met), met);
    cutOff.merge(here.news(prompt_quarantine::newsMaxAge, met), met);
    cr_assert_not(isQuarantined(here, guilty));
    cr_assert_not(isQuarantined(cutOff, guilty));
}

Test(prompt_quarantine, aReleasedPartIsNotHeldBackAgainByInstancesThatHeardNothingForMinutes)
{
    prompt_quarantine here;
    prompt_quarantine cutOff;
    crashThreeServers(here, guilty);
    crashThreeServers(cutOff, guilty);
    cr_assert(here.tryTrial({ guilty }, at(seconds(12))));
    here.recordWritten({ guilty }, at(seconds(13)));
    const time_point met = at(seconds(300));
    here.expire(met);
    cutOff.expire(met);
    here.merge(cutOff.news(prompt_quarantine::newsMaxAge, met), met);
    cutOff.merge(here.news(prompt_quarantine::newsMaxAge, met), met);
    cr_assert_not(isQuarantined(here, guilty));
    cr_assert_not(isQuarantined(cutOff, guilty));
}

Test(prompt_quarantine, aPartIsNotBlamedBeforeTheOtherInstancesHaveToldWhatElseWasThere)
{
    prompt_quarantine here;
    prompt_quarantine there;
    crash(here, 1, { guilty, rare }, milliseconds(400));
    crash(here, 2, { guilty, rare }, milliseconds(800));
    crash(here, 3, { rare }, milliseconds(1'200));
    cr_assert_not(isQuarantined(here, rare));
    crash(there, 3, { guilty }, milliseconds(1'200));
    here.merge(there.news(prompt_quarantine::newsMaxAge, at(milliseconds(1'205))), at(milliseconds(1'205)));
    here.expire(at(seconds(2)));
    cr_assert_not(isQuarantined(here, rare));
}

Test(prompt_quarantine, aPartThatNothingElseExplainsIsHeldBackOnceTheOtherInstancesHaveTold)
{
    prompt_quarantine quarantine;
    crash(quarantine, 1, { guilty, rare }, milliseconds(400));
    crash(quarantine, 2, { guilty, rare }, milliseconds(800));
    crash(quarantine, 3, { guilty }, milliseconds(1'200));
    quarantine.merge({}, at(milliseconds(1'200) + milliseconds(100)));
    cr_assert(isQuarantined(quarantine, guilty));
    cr_assert_not(isQuarantined(quarantine, rare));
}

Test(prompt_quarantine, aPromptsOwnPartIsConvictedAtTheThirdCrashAndNotTheSharedOneBesideIt)
{
    const prompt_part own = asOwnPart(5);
    prompt_quarantine quarantine;
    for (int number = 1; number <= 3; ++number) {
        crash(quarantine, static_cast<server_start_key>(number), { popular, own }, milliseconds(400 * number));
    }
    cr_assert(isQuarantined(quarantine, own));
    cr_assert_not(isQuarantined(quarantine, popular));
}

Test(prompt_quarantine, crashesUnderOtherOwnPartsConvictTheSharedOne)
{
    prompt_quarantine quarantine;
    for (int number = 1; number <= 6; ++number) {
        const prompt_part own = asOwnPart(number <= 3 ? 5 : static_cast<prompt_part>(10 + number));
        crash(quarantine, static_cast<server_start_key>(number), { popular, own }, milliseconds(400 * number));
    }
    cr_assert(isQuarantined(quarantine, popular));
}

Test(prompt_quarantine, twoOwnPartsAtTheSameCrashesAreToldApartByTheNext)
{
    const prompt_part guiltyOwn = asOwnPart(5);
    const prompt_part bystander = asOwnPart(6);
    prompt_quarantine quarantine;
    for (int number = 1; number <= 4; ++number) {
        auto parts = std::vector<prompt_part>{ popular, guiltyOwn };
        if (number <= 3) {
            parts.push_back(bystander);
        }
        crash(quarantine, static_cast<server_start_key>(number), parts, milliseconds(400 * number));
    }
    quarantine.expire(at(milliseconds(1'600) + prompt_quarantine::settleTime));
    cr_assert(isQuarantined(quarantine, guiltyOwn));
    cr_assert_not(isQuarantined(quarantine, bystander));
}
