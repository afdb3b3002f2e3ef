// Of two parts that were at the same crashes the one with the lower hash was held back, such as one that all prompts begin with.

#include "gateway/load_report.h"
#include "gateway/prompt_quarantine.h"
#include "gateway/tests/test_time.h"

#include <criterion/criterion.h>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;

namespace
{

constexpr prompt_part first = 1; // Of all prompts.
constexpr prompt_part guilty = 9;
constexpr prompt_part subject = 3;
constexpr prompt_part bystander = 5;

bool isQuarantined(const prompt_quarantine &quarantine, prompt_part part)
{
    return quarantine.quarantinedUntil({ part }).has_value();
}

/// News as another instance reads it.
quarantine_news received(const quarantine_news &news, int time)
{
    load_report report;
    report.sender = instance_id("one");
    report.dataCentre = data_centre_id("dc");
    report.address = 1;
    report.quarantine = news;
    const auto read = decodeLoadReport(encodeLoadReport(report, at(time)), at(time));
    cr_assert(read.has_value());
    return read->quarantine;
}

} // namespace

Test(quarantine_choice, theLaterPartOfThePromptIsHeldBackRatherThanTheOneThatAllPromptsBeginWith)
{
    prompt_quarantine here;
    prompt_quarantine there;
    for (int number = 1; number <= 6; ++number) {
        here.recordCrash(static_cast<server_start_key>(number), { first, guilty }, at(400 * number - 300), at(400 * number));
        there.merge(received(here.news(prompt_quarantine::newsMaxAge, at(400 * number)), 400 * number), at(400 * number));
    }
    cr_assert(isQuarantined(here, guilty));
    cr_assert_not(isQuarantined(here, first));
    cr_assert(isQuarantined(there, guilty));
    cr_assert_not(isQuarantined(there, first));
}

Test(quarantine_choice, aPartThatWasAnsweredAMomentBeforeIsNotHeldBackForOneThatNeverWas)
{
    prompt_quarantine here;
    prompt_quarantine there;
    there.recordWritten({ first, subject, bystander }, at(0));
    for (int number = 1; number <= 6; ++number) {
        here.recordCrash(static_cast<server_start_key>(number), { first, guilty }, at(400 * number - 300), at(400 * number));
        here.recordCrash(static_cast<server_start_key>(number), { first, subject, bystander }, at(400 * number - 300), at(400 * number));
        there.merge(received(here.news(prompt_quarantine::newsMaxAge, at(400 * number)), 400 * number), at(400 * number));
        here.merge(received(there.news(prompt_quarantine::newsMaxAge, at(400 * number)), 400 * number), at(400 * number));
    }
    for (const auto *instance : { &here, &there }) {
        cr_assert(isQuarantined(*instance, guilty));
        for (const prompt_part sound : { first, subject, bystander }) {
            cr_assert_not(isQuarantined(*instance, sound));
        }
    }
}

// A part that most prompts begin with was held back at its sixth crash, a moment before the news that the guilty one was there too.
Test(quarantine_choice, aSoundPartIsNotHeldBackBeforeTheNewsThatTheGuiltyOneWasAtItsSixthCrash)
{
    prompt_quarantine here;
    prompt_quarantine there;
    for (int number = 1; number <= 6; ++number) {
        const auto server = static_cast<server_start_key>(number);
        there.recordCrash(server, { first, guilty }, at(400 * number - 300), at(400 * number));
        if (number < 6) {
            here.merge(received(there.news(prompt_quarantine::newsMaxAge, at(400 * number)), 400 * number), at(400 * number));
        }
        here.recordCrash(server, { first }, at(400 * number - 300), at(400 * number));
        cr_assert_not(isQuarantined(here, first));
    }
    here.merge(received(there.news(prompt_quarantine::newsMaxAge, at(2'403)), 2'403), at(2'403));
    here.expire(at(2'400) + 2 * prompt_quarantine::settleTime);
    cr_assert(isQuarantined(here, guilty));
    cr_assert_not(isQuarantined(here, first));
}

Test(quarantine_choice, aPartWithMoreCrashesInARowIsNotHeldBackForALikelierOneThatWasAtAllOfThem)
{
    prompt_quarantine quarantine;
    for (int number = 1; number <= 6; ++number) {
        const int sentBefore = number % 2 == 0 ? 500 : 300; // Every other time before the crash before.
        const auto server = static_cast<server_start_key>(number);
        quarantine.recordCrash(server, { first }, at(400 * number - 100), at(400 * number));
        quarantine.recordCrash(server, { first, guilty }, at(400 * number - sentBefore), at(400 * number));
    }
    quarantine.expire(at(2'400) + prompt_quarantine::settleTime);
    cr_assert(isQuarantined(quarantine, guilty));
    cr_assert_not(isQuarantined(quarantine, first));
}
