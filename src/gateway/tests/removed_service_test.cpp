#include "gateway/fleet_state.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using std::chrono::seconds;

namespace
{

const service_id reading("reading");
const service_id other("other");

std::shared_ptr<const published_config> configWith(std::uint64_t version, const std::vector<service_id> &services)
{
    auto config = std::make_shared<published_config>();
    config->version = version;
    for (const service_id &name : services) {
        config->services[name].name = name;
        config->services[name].coldRequestsPerSecond = static_cast<double>(version);
    }
    return config;
}

listed_server coldServer()
{
    listed_server server;
    server.id = backend_server_id("one");
    server.service = reading;
    server.address = { "10.0.0.1", 80 };
    server.dataCentre = data_centre_id("a");
    server.slots = 8;
    server.startedAt = 5;
    server.coldLeft = seconds(10);
    return server;
}

/// One cold server, to which two requests were sent, and a limit of two a second.
fleet_state stateWithUsedColdServer()
{
    fleet_state state(1, data_centre_id("a"), fleet_limits(), [](std::string_view, std::string_view, std::string_view) {});
    state.apply(config_published{ configWith(2, { reading, other }) }, at(0), at(0));
    state.apply(server_listed{ coldServer() }, at(0), at(0));
    for (std::uint64_t request = 1; request <= 2; ++request) {
        server_work work;
        work.request = request;
        work.server = keyOf(coldServer().id);
        work.sentAt = at(10);
        state.loads.add(work);
    }
    return state;
}

bool isAtColdLimit(const fleet_state &state, int now)
{
    const auto found = state.candidates(reading, {}, server_scope::fleet, at(now));
    expectEqual(found.size(), 1U);
    return found.front().isAtColdLimit;
}

} // namespace

Test(removed_service, coldServerKeepsItsLimitForRequestsThatWait)
{
    fleet_state state = stateWithUsedColdServer();
    cr_assert(isAtColdLimit(state, 20));
    state.apply(config_published{ configWith(3, { other }) }, at(30), at(30));
    cr_assert(isAtColdLimit(state, 40));
}

Test(removed_service, newestConfigurationThatNamesTheServiceCounts)
{
    fleet_state state = stateWithUsedColdServer();
    state.apply(config_published{ configWith(3, { reading }) }, at(30), at(30));
    state.apply(config_published{ configWith(4, { other }) }, at(40), at(40));
    cr_assert_not(isAtColdLimit(state, 50));
    state.apply(config_published{ configWith(5, { reading }) }, at(60), at(60));
    cr_assert_not(isAtColdLimit(state, 70));
}
