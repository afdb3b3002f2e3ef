#include "gateway/server_directory.h"

#include "gateway/tests/test_time.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;

namespace
{

const service_id reading("reading");

listed_server serverNamed(const std::string &name)
{
    listed_server server;
    server.id = backend_server_id(name);
    server.service = reading;
    server.address = { "10.0.0.1", 80 };
    server.dataCentre = data_centre_id("dc1");
    return server;
}

} // namespace

Test(server_directory, excludesADrainingServer)
{
    server_directory directory;
    listed_server server = serverNamed("a");
    directory.put(server, at(0));
    expectEqual(directory.usable(reading, at(0)).size(), 1U);
    server.isLeaving = true;
    cr_assert(directory.put(server, at(1)) == server_directory::change::leaving);
    expectEqual(directory.usable(reading, at(1)).size(), 0U);
}

Test(server_directory, excludesADataCentreOutOfService)
{
    server_directory directory;
    directory.put(serverNamed("a"), at(0));
    directory.setOutOfService(data_centre_id("dc1"), true);
    expectEqual(directory.usable(reading, at(1)).size(), 0U);
    directory.setOutOfService(data_centre_id("dc1"), false);
    expectEqual(directory.usable(reading, at(2)).size(), 1U);
}

Test(server_directory, keepsAServerThatIsMissingAfterAnOutageUntilTheGivenTimeAndNoLonger)
{
    server_directory directory;
    directory.put(serverNamed("a"), at(0));
    directory.replaceAll({}, at(1'000), at(3'000));
    expectEqual(directory.usable(reading, at(2'999)).size(), 1U);
    // Holds without a call of expire(), as requests arrive between two store reads.
    expectEqual(directory.usable(reading, at(3'000)).size(), 0U);
}

Test(server_directory, keepsAServerThatIsListedAgainInTime)
{
    server_directory directory;
    directory.put(serverNamed("a"), at(0));
    directory.replaceAll({}, at(1'000), at(3'000));
    directory.put(serverNamed("a"), at(2'000));
    expectEqual(directory.expire(at(9'000)).size(), 0U);
    expectEqual(directory.usable(reading, at(9'000)).size(), 1U);
}

Test(server_directory, removesAnUnlistedServerAtOnceOutsideTheGracePeriod)
{
    server_directory directory;
    directory.put(serverNamed("a"), at(0));
    cr_assert(directory.remove(backend_server_id("a"), at(10), time_point()) == server_directory::change::removed);
    expectEqual(directory.size(), 0U);
}

Test(server_directory, removesADrainingServerAtOnceAlsoAfterAnOutage)
{
    server_directory directory;
    listed_server server = serverNamed("a");
    server.isLeaving = true;
    directory.put(server, at(0));
    cr_assert(directory.remove(server.id, at(10), at(2'000)) == server_directory::change::removed);
}

Test(server_directory, detectsARestartUnderTheSameId)
{
    server_directory directory;
    listed_server server = serverNamed("a");
    server.startedAt = 1;
    directory.put(server, at(0));
    server.startedAt = 2;
    cr_assert(directory.put(server, at(1)) == server_directory::change::restarted);
}

Test(server_directory, usesOnlyTheLatestStartAtAnAddress)
{
    server_directory directory;
    listed_server first = serverNamed("b");
    first.startedAt = 1'000;
    listed_server second = serverNamed("a");
    second.startedAt = 2'000;
    directory.put(second, at(0));
    directory.put(first, at(1));
    const auto usable = directory.usable(reading, at(2));
    expectEqual(usable.size(), 1U);
    expectEqual(usable.front()->entry.id.str(), "a");
}

// An engine that is unlisted a second after the end of a store outage is removed at the end of the grace period of that outage,
// not kept for another 2 s.
Test(server_directory, keepsAServerUnlistedDuringTheGracePeriodNotBeyondItsEnd)
{
    server_directory directory;
    directory.put(serverNamed("a"), at(0));
    directory.remove(backend_server_id("a"), at(1'500), at(2'000));
    expectEqual(directory.usable(reading, at(1'999)).size(), 1U);
    expectEqual(directory.usable(reading, at(2'000)).size(), 0U);
}

Test(server_directory, restoredStoreDoesNotBringBackAServerThatHadLeft)
{
    server_directory directory;
    listed_server gone = serverNamed("a");
    gone.startedAt = 7;
    directory.put(gone, at(0));
    directory.remove(gone.id, at(100), at(100));
    directory.setReadingRestoredList(true);
    directory.put(gone, at(200));
    directory.replaceAll({ gone }, at(200), at(2'200));
    directory.setReadingRestoredList(false);
    expectEqual(directory.usable(reading, at(300)).size(), 0U);
    // It lives if it writes its entry again.
    directory.put(gone, at(400));
    expectEqual(directory.usable(reading, at(400)).size(), 1U);
}

Test(server_directory, restoredStoreDoesNotUndoTheDrainOfAServer)
{
    server_directory directory;
    listed_server server = serverNamed("a");
    server.startedAt = 7;
    server.isLeaving = true;
    directory.put(server, at(0));
    server.isLeaving = false;
    directory.setReadingRestoredList(true);
    directory.put(server, at(100));
    directory.setReadingRestoredList(false);
    expectEqual(directory.usable(reading, at(100)).size(), 0U);
}

Test(server_directory, restoredStoreDoesNotUndoTheDrainOfAServerWithoutAStartTime)
{
    server_directory directory;
    listed_server server = serverNamed("a");
    directory.put(server, at(0));
    server.isLeaving = true;
    directory.put(server, at(100));
    server.isLeaving = false;
    directory.setReadingRestoredList(true);
    directory.put(server, at(200));
    directory.setReadingRestoredList(false);
    expectEqual(directory.usable(reading, at(200)).size(), 0U);
    // It stays if it writes its entry again.
    directory.put(server, at(300));
    expectEqual(directory.usable(reading, at(300)).size(), 1U);
}

Test(server_directory, dataCentreStaysOutOfServiceUntilARestoredStoreSaysSoAgain)
{
    server_directory directory;
    directory.put(serverNamed("a"), at(0));
    directory.setOutOfService(data_centre_id("dc1"), true);
    directory.keepOutOfService(at(2'000));
    directory.replaceOutOfService({});
    expectEqual(directory.usable(reading, at(1'999)).size(), 0U);
    expectEqual(directory.usable(reading, at(2'000)).size(), 1U);
}

Test(server_directory, laterEntryWithoutAKnownStartEndsTheDrain)
{
    server_directory directory;
    listed_server server = serverNamed("a");
    server.isLeaving = true;
    directory.put(server, at(0));
    server.isLeaving = false;
    directory.put(server, at(100));
    expectEqual(directory.usable(reading, at(100)).size(), 1U);
}
