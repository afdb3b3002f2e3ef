#include "gateway/fleet_state.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;

namespace
{

listed_server serverStartedAt(std::uint64_t startedAt)
{
    listed_server server;
    server.id = backend_server_id("one");
    server.service = service_id("reading");
    server.address = { "10.0.0.1", 80 };
    server.dataCentre = data_centre_id("a");
    server.startedAt = startedAt;
    return server;
}

fleet_state stateWith(const listed_server &server)
{
    fleet_state state(1, data_centre_id("a"), fleet_limits(), [](std::string_view, std::string_view, std::string_view) {});
    state.apply(server_listed{ server }, at(0), at(0));
    return state;
}

bool isSuspected(const fleet_state &state, int now)
{
    return state.candidates(service_id("reading"), {}, server_scope::fleet, at(now)).front().isSuspected;
}

void failRequest(fleet_state &state, const listed_server &server, int now)
{
    state.recordFailure(keyOf(server.id), startKeyOf(server), false, at(now));
}

} // namespace

Test(restarted_server, isSuspectedForItsOwnFailures)
{
    fleet_state state = stateWith(serverStartedAt(5));
    failRequest(state, serverStartedAt(5), 10);
    cr_assert(isSuspected(state, 20));
}

Test(restarted_server, isNotSuspectedForAFailureOfItsEarlierStart)
{
    fleet_state state = stateWith(serverStartedAt(5));
    state.apply(server_listed{ serverStartedAt(9) }, at(10), at(10));
    failRequest(state, serverStartedAt(5), 20);
    cr_assert_not(isSuspected(state, 30));
}
