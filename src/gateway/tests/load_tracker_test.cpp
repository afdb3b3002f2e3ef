#include "gateway/load_report.h"
#include "gateway/load_tracker.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr server_key engine = 17;

server_work reading(std::uint64_t request, int sent, milliseconds takes)
{
    server_work work;
    work.request = request;
    work.server = engine;
    work.prefillTime = takes;
    work.memoryTokens = 1'000;
    work.isLatencySensitive = true;
    work.sentAt = at(sent);
    return work;
}

server_load loadAt(const load_tracker &book, int now)
{
    return book.loads(at(now))[engine];
}

} // namespace

Test(load_tracker, readsOnePartAfterTheOther)
{
    load_tracker book;
    book.add(reading(1, 0, milliseconds(100)));
    book.add(reading(2, 50, milliseconds(100)));
    cr_assert(loadAt(book, 60).pendingPrefill == milliseconds(140));
    expectEqual(loadAt(book, 60).requests, 2U);
}

Test(load_tracker, whatWritesHasNothingLeftToRead)
{
    load_tracker book;
    book.add(reading(1, 0, milliseconds(100)));
    cr_assert(book.recordFirstToken(1));
    cr_assert_not(book.recordFirstToken(1));
    cr_assert(loadAt(book, 10).pendingPrefill == milliseconds(0));
    expectEqual(loadAt(book, 10).decodingRequests, 1U);
    expectEqual(loadAt(book, 10).memoryTokens, 1'000);
}

Test(load_tracker, aPartIsOverdueOnlyAfterAPass)
{
    load_tracker book;
    book.add(reading(1, 0, milliseconds(100)));
    cr_assert(loadAt(book, 340).overdue == milliseconds(0));
    cr_assert(loadAt(book, 450).overdue == milliseconds(100));
}

Test(load_tracker, aJointPartIsNeverOverdueAsAnotherEngineMayBeTheSlowOne)
{
    load_tracker book;
    server_work part = reading(1, 0, milliseconds(100));
    part.isSplitPrompt = true;
    book.add(part);
    cr_assert(loadAt(book, 5'000).overdue == milliseconds(0));
}

Test(load_tracker, forgetsHelpersAtTheFirstTokenButNotTheirReservations)
{
    load_tracker book;
    server_work helper = reading(1, 0, milliseconds(100));
    helper.isHelper = true;
    book.add(helper);
    helper.server = engine + 1;
    helper.memoryTokens = 0;
    book.add(helper);
    book.recordFirstToken(1);
    expectEqual(book.ownWork().size(), 1U);
    expectEqual(book.ownWork().front().server, engine);
    book.finish(1);
    expectEqual(book.ownWork().size(), 0U);
}

Test(load_tracker, countsTheWorkOfOthersUntilTheyAreSilent)
{
    load_tracker book;
    book.replacePeerWork(instance_id("other"), { reading(5, 0, milliseconds(100)) }, at(0));
    expectEqual(loadAt(book, 10).requests, 1U);
    book.replacePeerWork(instance_id("other"), {}, at(20));
    expectEqual(loadAt(book, 30).requests, 0U);
    book.replacePeerWork(instance_id("other"), { reading(6, 40, milliseconds(100)) }, at(40));
    book.expire(at(2'000));
    expectEqual(book.peerCount(), 1U);
    book.expire(at(2'600));
    expectEqual(book.peerCount(), 0U);
}

Test(load_report, isReadBackAsItWasTold)
{
    load_report told;
    told.sender = instance_id("one");
    told.dataCentre = data_centre_id("dc1");
    told.address = 0x0a010005;
    told.incarnation = 99;
    told.sequence = 3;
    told.knownPeers = { 0x0a010006 };
    told.suspectedServers = { engine };
    server_work work = reading(1, 100, milliseconds(25));
    work.contextTokens = 500;
    work.isSplitPrompt = true;
    told.work = { work };
    const auto heard = decodeLoadReport(encodeLoadReport(told, at(130)), at(1'000));
    cr_assert(heard.has_value());
    expectEqual(heard->sender.str(), "one");
    expectEqual(heard->dataCentre.str(), "dc1");
    expectEqual(heard->knownPeers.front(), 0x0a010006U);
    expectEqual(heard->suspectedServers.front(), engine);
    const server_work &copy = heard->work.front();
    cr_assert(copy.prefillTime == work.prefillTime);
    cr_assert(copy.sentAt == at(970));
    expectEqual(copy.contextTokens, 500);
    cr_assert(copy.isSplitPrompt && copy.isLatencySensitive && !copy.isHelper && !copy.isDecoding);
}

Test(load_report, refusesDamagedBytes)
{
    cr_assert_not(decodeLoadReport("\xff\xff\xff", at(0)).has_value());
    cr_assert_not(decodeLoadReport("", at(0)).has_value());
}
