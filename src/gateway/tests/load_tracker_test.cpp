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
constexpr peer_address other = 2;

server_work prefill(std::uint64_t request, int sentMs, milliseconds duration)
{
    server_work work;
    work.request = request;
    work.server = engine;
    work.prefillTime = duration;
    work.memoryTokens = 1'000;
    work.isLatencySensitive = true;
    work.sentAt = at(sentMs);
    return work;
}

server_load loadAt(const load_tracker &tracker, int now)
{
    const auto loads = tracker.loads(at(now));
    const auto found = loads.find(engine);
    return found == loads.end() ? server_load() : found->second;
}

} // namespace

Test(load_tracker, partsArePrefilledOneAfterTheOther)
{
    load_tracker tracker;
    tracker.add(prefill(1, 0, milliseconds(100)));
    tracker.add(prefill(2, 50, milliseconds(100)));
    cr_assert(loadAt(tracker, 60).pendingPrefill == milliseconds(140));
    expectEqual(loadAt(tracker, 60).requests, 2U);
}

Test(load_tracker, aDecodingRequestHasNoPendingPrefill)
{
    load_tracker tracker;
    tracker.add(prefill(1, 0, milliseconds(100)));
    cr_assert(tracker.recordFirstToken(1));
    cr_assert_not(tracker.recordFirstToken(1));
    cr_assert(loadAt(tracker, 10).pendingPrefill == milliseconds(0));
    expectEqual(loadAt(tracker, 10).decodingRequests, 1U);
    expectEqual(loadAt(tracker, 10).memoryTokens, 1'000);
}

Test(load_tracker, aPartIsOverdueOnlyAfterTheStepTolerance)
{
    load_tracker tracker;
    tracker.add(prefill(1, 0, milliseconds(100)));
    cr_assert(loadAt(tracker, 340).overdue == milliseconds(0));
    cr_assert(loadAt(tracker, 450).overdue == milliseconds(100));
}

Test(load_tracker, aPartOfASplitPromptIsNeverOverdueAsAnotherEngineMayBeSlow)
{
    load_tracker tracker;
    server_work part = prefill(1, 0, milliseconds(100));
    part.isSplitPrompt = true;
    tracker.add(part);
    cr_assert(loadAt(tracker, 5'000).overdue == milliseconds(0));
}

Test(load_tracker, firstTokenRemovesHelpersWithoutAReservation)
{
    load_tracker tracker;
    server_work helper = prefill(1, 0, milliseconds(100));
    helper.isHelper = true;
    tracker.add(helper);
    helper.server = engine + 1;
    helper.memoryTokens = 0;
    tracker.add(helper);
    tracker.recordFirstToken(1);
    expectEqual(tracker.ownWork().size(), 1U);
    expectEqual(tracker.ownWork().front().server, engine);
    tracker.finish(1);
    expectEqual(tracker.ownWork().size(), 0U);
}

Test(load_tracker, countsPeerWorkUntilItExpires)
{
    load_tracker tracker;
    tracker.replacePeerWork(other, { prefill(5, 0, milliseconds(100)) }, at(0));
    expectEqual(loadAt(tracker, 10).requests, 1U);
    tracker.replacePeerWork(other, {}, at(20));
    expectEqual(loadAt(tracker, 30).requests, 0U);
    tracker.replacePeerWork(other, { prefill(6, 40, milliseconds(100)) }, at(40));
    tracker.expire(at(2'000));
    expectEqual(tracker.peerCount(), 1U);
    tracker.expire(at(2'600));
    expectEqual(tracker.peerCount(), 0U);
}

Test(load_report, decodesToWhatWasEncoded)
{
    load_report sent;
    sent.sender = instance_id("one");
    sent.dataCentre = data_centre_id("dc1");
    sent.address = 0x0a010005;
    sent.incarnation = 99;
    sent.sequence = 3;
    sent.wantsInstances = true;
    sent.instances = { { data_centre_id("dc2"), { 0x0a010006 } } };
    server_summary busy;
    busy.server = 21;
    busy.load.pendingPrefill = milliseconds(120);
    busy.load.requests = 4;
    cell_summary near;
    near.cell.dataCentre = data_centre_id("dc3");
    near.cell.index = 1;
    near.measuredAt = at(100);
    near.servers = { busy };
    near.instances.emplace(1, 0x0a020001);
    sent.summaries = { near };
    sent.areSummariesRelayed = true;
    sent.suspectedServers = { engine };
    server_work work = prefill(1, 100, milliseconds(25));
    work.contextTokens = 500;
    work.isSplitPrompt = true;
    sent.work = { work };
    const auto received = decodeLoadReport(encodeLoadReport(sent, at(130)), at(1'000));
    cr_assert(received.has_value());
    expectEqual(received->sender.str(), "one");
    expectEqual(received->dataCentre.str(), "dc1");
    cr_assert(received->wantsInstances && received->areSummariesRelayed);
    expectEqual(received->instances.at(data_centre_id("dc2")).front(), 0x0a010006U);
    const cell_summary &summary = received->summaries.front();
    cr_assert(summary.cell == near.cell);
    cr_assert(summary.measuredAt == at(970));
    cr_assert(summary.servers.front().load.pendingPrefill == milliseconds(120));
    expectEqual(summary.servers.front().load.requests, 4U);
    expectEqual(summary.instances->front(), 0x0a020001U);
    expectEqual(received->suspectedServers.front(), engine);
    const server_work &copy = received->work.front();
    cr_assert(copy.prefillTime == work.prefillTime);
    cr_assert(copy.sentAt == at(970));
    expectEqual(copy.contextTokens, 500);
    cr_assert(copy.isSplitPrompt && copy.isLatencySensitive && !copy.isHelper && !copy.isDecoding);
}

Test(load_report, rejectsDamagedBytes)
{
    cr_assert_not(decodeLoadReport("\xff\xff\xff", at(0)).has_value());
    cr_assert_not(decodeLoadReport("", at(0)).has_value());
}
