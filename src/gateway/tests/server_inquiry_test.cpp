// A question that reached nobody was taken for the answer that the server had ended.

#include "gateway/load_tracker.h"
#include "gateway/relay_choice.h"
#include "gateway/server_inquiry.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr peer_address observer = 1;
constexpr peer_address relay = 2;

server_evidence directly(server_sign seen, int time)
{
    return { 7, observer, {}, seen, at(time) };
}

server_evidence through(server_sign seen, int time)
{
    return { 7, observer, relay, seen, at(time) };
}

} // namespace

// A cut refused new connections, and the servers behind it were taken for ended.
Test(server_inquiry, onlyTheServerItselfShowsThatItEnded)
{
    for (const server_sign seen :
        { server_sign::refused, server_sign::reset, server_sign::silent, server_sign::nobody_answered, server_sign::no_report }) {
        cr_assert_eq(lifeShownBy(directly(seen, 0)), server_life::unknown);
        cr_assert_eq(lifeShownBy(through(seen, 0)), server_life::unknown);
    }
    cr_assert_eq(lifeShownBy(directly(server_sign::other_start, 0)), server_life::ended);
    cr_assert_eq(lifeShownBy(through(server_sign::other_start, 0)), server_life::ended);
    cr_assert_eq(lifeShownBy(through(server_sign::bytes, 0)), server_life::runs);
}

Test(server_inquiry, aQuestionThatReachedNobodyIsAskedAgainUntilItDecays)
{
    server_inquiry inquiry(at(0));
    int questions = 0;
    time_point last{};
    while (const auto due = inquiry.askAt()) {
        last = *due;
        ++questions;
        server_evidence evidence = through(server_sign::nobody_answered, 0);
        evidence.at = last;
        inquiry.recordEvidence(evidence, last);
    }
    cr_assert_geq(questions, 6);
    cr_assert_leq(questions, 12);
    cr_assert(last > at(5'000) && last <= at(10'000));
}

Test(server_inquiry, anAnswerEndsTheQuestion)
{
    for (const server_sign seen : { server_sign::bytes, server_sign::other_start, server_sign::no_report }) {
        server_inquiry inquiry(at(0));
        inquiry.recordEvidence(through(seen, 0), at(50));
        cr_assert_not(inquiry.askAt().has_value());
    }
}

Test(server_inquiry, anAnswerToAnEarlierQuestionSaysNothingOfALaterLoss)
{
    server_inquiry inquiry(at(0));
    inquiry.recordDoubt(at(20));
    inquiry.recordEvidence(directly(server_sign::bytes, 0), at(50));
    cr_assert(inquiry.askAt().has_value());
    inquiry.recordEvidence(directly(server_sign::bytes, 150), at(160));
    cr_assert_not(inquiry.askAt().has_value());
}

// Both relays of a question were cut off themselves, while a third instance heard the server.
Test(server_inquiry, anInstanceThatHasHeardTheServerSinceIsAskedFirst)
{
    std::vector<relay_candidate> candidates;
    for (peer_address instance = 1; instance <= 8; ++instance) {
        candidates.push_back({ instance, true, false, false });
    }
    const peer_address last = chooseRelays(candidates, "10.0.0.1:80", 9).front();
    candidates[last % 8].hasHeardServer = true;
    expectEqual(chooseRelays(candidates, "10.0.0.1:80", 9).front(), candidates[last % 8].instance);
}

Test(server_inquiry, anInstanceHasHeardAServerThatAnswersARequestSentSinceTheDoubt)
{
    load_tracker loads;
    server_work work;
    work.server = 7;
    work.sentAt = at(100);
    work.isDecoding = true;
    loads.replacePeerWork(1, { work }, at(200));
    work.sentAt = at(300);
    loads.replacePeerWork(2, { work }, at(400));
    work.isDecoding = false;
    loads.replacePeerWork(3, { work }, at(400));
    const std::set<peer_address> heard = loads.hearersOf(7, at(200));
    expectEqual(heard.size(), 1U);
    cr_assert(heard.contains(2));
}
