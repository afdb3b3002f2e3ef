#include "gateway/load_report.h"
#include "gateway/prompt_quarantine.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr prompt_part guilty = 1;
constexpr prompt_part popular = 2;
constexpr prompt_part rare = 3;
constexpr size_t maxDatagramBytes = 60'000; // Of the link between instances.

bool isQuarantined(const prompt_quarantine &quarantine, prompt_part part)
{
    return quarantine.quarantinedUntil({ part }).has_value();
}

quarantine_news answerNews(prompt_part part, int time)
{
    quarantine_news news;
    news.written.push_back({ part, at(time) });
    return news;
}

/// The news as the other instance reads it, which does not know how long it was on its way.
quarantine_news received(quarantine_news news, milliseconds delay)
{
    for (crash_evidence &crash : news.crashes) {
        crash.at += delay;
        for (auto &[part, sentAt] : crash.sentAt) {
            sentAt += delay;
        }
    }
    for (written_part &each : news.written) {
        each.at += delay;
    }
    for (quarantined_part &each : news.quarantined) {
        each.since += delay;
    }
    return news;
}

/// Two instances tell each other of a part for 40 s over a link of this delay. Whether it may be tried after that.
bool mayBeTriedInTheEnd(milliseconds delay)
{
    prompt_quarantine here;
    prompt_quarantine there;
    for (int number = 1; number <= 3; ++number) {
        here.recordCrash(static_cast<server_start_key>(number), { guilty }, at(400 * number - 300), at(400 * number));
    }
    const time_point end = at(40'000);
    for (time_point now = at(1'500); now < end; now += 2 * delay) {
        there.merge(received(here.news(prompt_quarantine::newsMaxAge, now), delay), now + delay);
        here.merge(received(there.news(prompt_quarantine::newsMaxAge, now + delay), delay), now + 2 * delay);
    }
    return *here.quarantinedUntil({ guilty }) <= end;
}

} // namespace

Test(quarantine_news, twoInstancesDoNotRenewAQuarantineBetweenThem)
{
    for (const int delay : { 1, 50, 200, 450 }) {
        cr_assert(mayBeTriedInTheEnd(milliseconds(delay)), "delay %d ms", delay);
    }
}

Test(quarantine_news, aLinkOfMoreThanASecondDoesNotRenewAQuarantineWithoutEnd)
{
    for (const int delay : { 600, 2'000 }) {
        cr_assert(mayBeTriedInTheEnd(milliseconds(delay)), "delay %d ms", delay);
    }
}

Test(quarantine_news, aReportFitsADatagramAfterAnOutageOfManyServers)
{
    prompt_quarantine quarantine;
    std::vector<prompt_part> all;
    for (server_start_key server = 1; server <= prompt_quarantine::maxCrashes; ++server) {
        std::vector<prompt_part> parts;
        for (size_t index = 0; index < prompt_quarantine::maxPartsPerCrash; ++index) {
            parts.push_back(server * 1'000 + index);
        }
        quarantine.recordCrash(server, parts, at(9'500), at(10'000));
        all.insert(all.end(), parts.begin(), parts.end());
    }
    quarantine.recordWritten(all, at(11'000));
    for (server_start_key server = 1; server <= server_sightings::maxSightings; ++server) {
        quarantine.recordRunning(server << 32U, at(11'000), at(11'000));
    }
    quarantine_news losses;
    for (peer_address observer = 1; observer <= prompt_quarantine::maxLossesInNews; ++observer) {
        losses.losses.push_back({ observer << 22U, at(9'900), at(11'000) });
    }
    quarantine.merge(losses, at(11'000));
    load_report report;
    report.quarantine = quarantine.news(prompt_quarantine::newsMaxAge, at(11'500));
    expectEqual(report.quarantine.losses.size(), prompt_quarantine::maxLossesInNews);
    cr_assert(encodeLoadReport(report, at(11'500)).size() <= maxDatagramBytes);
}

Test(quarantine_news, whatAHookDoesToTheQuarantineIsSafe)
{
    prompt_quarantine *reached = nullptr;
    unsigned changes = 0;
    prompt_quarantine quarantine([&](prompt_part part, bool isHeldBack) {
        ++changes;
        const time_point now = at(20'000);
        if (isHeldBack) {
            reached->recordCrash(50 + part, { part, 77 }, at(19'000), now);
        } else {
            reached->expire(at(200'000));
        }
        reached->merge(reached->news(prompt_quarantine::newsMaxAge, now), now);
    });
    reached = &quarantine;
    for (int number = 1; number <= 6; ++number) {
        const auto server = static_cast<server_start_key>(number);
        quarantine.recordCrash(server, { guilty, popular, rare }, at(400 * number - 300), at(400 * number));
    }
    cr_assert(changes > 0);
    quarantine.recordWritten({ guilty, popular, rare }, at(30'000));
    expectEqual(quarantine.size(), 0U);
}

Test(quarantine_news, answersOnPartsThatWereAtNoCrashAreNotKept)
{
    prompt_quarantine quarantine;
    for (int number = 0; number < 100'000; ++number) {
        quarantine.recordWritten({ static_cast<prompt_part>(number) }, at(1'000));
        quarantine.merge(answerNews(static_cast<prompt_part>(number), 1'000), at(1'000));
    }
    expectEqual(quarantine.news(prompt_quarantine::newsMaxAge, at(1'000)).written.size(), 0U);
}

Test(quarantine_news, anAnswerBeforeTheNewsOfTheCrashClearsThePart)
{
    prompt_quarantine here;
    prompt_quarantine there;
    here.recordCrash(1, { rare }, at(100), at(400));
    there.recordWritten({ rare }, at(450));
    there.merge(here.news(prompt_quarantine::newsMaxAge, at(460)), at(460));
    here.merge(there.news(prompt_quarantine::newsMaxAge, at(470)), at(470));
    here.recordCrash(2, { rare }, at(500), at(800));
    here.recordCrash(3, { rare }, at(900), at(1'200));
    cr_assert_not(isQuarantined(here, rare));
}

Test(quarantine_news, answersOnPartsThatNeverRepeatAreForgotten)
{
    recent_answers answers;
    for (int number = 0; number < 100'000; ++number) {
        answers.record(static_cast<prompt_part>(number), at(1'000));
    }
    cr_assert(answers.find(recent_answers::maxPartsPerPeriod - 1).has_value());
    cr_assert_not(answers.find(recent_answers::maxPartsPerPeriod).has_value());
    answers.record(guilty, at(3'500));
    cr_assert(answers.find(popular).has_value());
    answers.record(guilty, at(6'000));
    cr_assert_not(answers.find(popular).has_value());
}

Test(quarantine_news, anOutageIsOneCrashAlsoWhenItsReportsAreNotEquallyLate)
{
    prompt_quarantine quarantine;
    constexpr int sentBeforeOutage = 5;
    for (int report = 0; report < 3; ++report) {
        const time_point heard = at(10'000 + 10 * report);
        quarantine_news news;
        news.crashes.push_back(
            { static_cast<server_start_key>(report) + 1, heard, { { popular, heard - milliseconds(sentBeforeOutage) } } });
        quarantine.merge(news, heard);
    }
    cr_assert_not(isQuarantined(quarantine, popular));
}
