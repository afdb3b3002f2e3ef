#include "gateway/placement_spill.h"
#include "gateway/prompt_placement.h"

#include "gateway/tests/fleet_simulation.h"
#include "testing/expect.h"

#include <algorithm>
#include <deque>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::fleet_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr unsigned instances = 150;
constexpr unsigned dataCentres = 3;
constexpr unsigned serversPerDataCentre = 10;
constexpr unsigned slots = 10;
constexpr milliseconds requestTime{ 800 };
constexpr milliseconds waitLimit{ 200 }; ///< Half of the time to the first event.
constexpr unsigned mostQueued = 2; ///< At an engine; one of its ten streams ends each 80 ms, so these start within the wait limit.

struct running_request {
    time_point endsAt;
    unsigned instance = 0;
    server_key server = 0;
    std::uint64_t request = 0;
};

// Requests of all instances in turn, placed as a gateway does it. Counts what the servers would see.
struct traffic_result {
    unsigned sent = 0;
    unsigned late = 0; ///< Waited longer than a request can and still be on time.
    unsigned leftTheirCell = 0; ///< Of instances whose own data centre is in service.
    unsigned mostAtOneServer = 0;
    std::map<unsigned, unsigned> spilledTo; ///< Requests of the instances in data centre 0, by data centre of the server.
};

engine_profile profile()
{
    engine_profile engine;
    engine.slots = slots;
    engine.memoryTokens = 232'000;
    engine.prefillTokensPerMs = 206.0;
    engine.tokenStepMs = 1.02;
    engine.tokenStepsPerBatchStep = 68;
    return engine;
}

placement_decision place(fleet_simulation &fleet, unsigned instance)
{
    placement_request request;
    request.promptTokens = 5'000;
    request.answerTokens = 1'000;
    request.eventGapTarget = milliseconds(250);
    request.arrivedAt = fleet.now();
    request.firstEventDueAt = fleet.now() + milliseconds(400);
    request.callerTimeoutAt = fleet.now() + seconds(2);
    request.deadline = fleet.now() + seconds(10);
    const auto placeIn = [&](server_scope scope) {
        const auto candidates = fleet.state(instance).candidates(service_id("model"), {}, scope, fleet.now());
        return placePrompt(request, profile(), candidates, fleet.now());
    };
    const placement_decision near = placeIn(server_scope::own_cell);
    return wouldLeaveCell(near) ? chooseCell(near, placeIn(server_scope::fleet)) : near;
}

traffic_result play(fleet_simulation &fleet, milliseconds gap, seconds duration)
{
    std::map<server_key, unsigned> dataCentreOf;
    for (unsigned dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
        for (unsigned index = 0; index < serversPerDataCentre; ++index) {
            dataCentreOf[fleet.serverOf(dataCentre, index)] = dataCentre;
        }
    }
    traffic_result result;
    std::deque<running_request> running;
    std::deque<std::pair<unsigned, time_point>> waiting; // Instance, since when.
    std::map<server_key, unsigned> atServer;
    const auto start = [&](unsigned instance, server_key server) {
        running.push_back({ fleet.now() + requestTime, instance, server, fleet.addWork(instance, server, milliseconds(24)) });
        result.mostAtOneServer = std::max(result.mostAtOneServer, ++atServer[server]);
        ++result.sent;
        const unsigned home = instance % dataCentres;
        result.leftTheirCell += home != 0 && dataCentreOf[server] != home ? 1 : 0;
        result.spilledTo[dataCentreOf[server]] += home == 0 ? 1 : 0;
    };
    const time_point end = fleet.now() + duration;
    for (unsigned next = 0; fleet.now() < end; next = (next + 7) % instances) {
        while (!running.empty() && running.front().endsAt <= fleet.now()) {
            fleet.finishWork(running.front().instance, running.front().request);
            --atServer[running.front().server];
            running.pop_front();
        }
        waiting.emplace_back(next, fleet.now());
        for (size_t count = waiting.size(); count > 0; --count) {
            const auto [instance, since] = waiting.front();
            waiting.pop_front();
            const placement_decision decision = place(fleet, instance);
            if (decision.next == placement_decision::action::send) {
                start(instance, decision.parts.front().server);
                result.late += fleet.now() - since > waitLimit ? 1 : 0;
                if (since < fleet.now()) {
                    // Instances try again at random moments, so that they know of each other's sends.
                    fleet.runFor(milliseconds(1));
                }
            } else {
                waiting.emplace_back(instance, since);
            }
        }
        fleet.runFor(gap);
    }
    return result;
}

void takeOutOfService(fleet_simulation &fleet, unsigned dataCentre)
{
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        fleet.state(instance).apply(
            data_centre_service_changed{ data_centre_id("dc" + std::to_string(dataCentre)), true }, fleet.now(), fleet.now());
    }
}

} // namespace

Test(spilled_work, cellWithoutServersIsServedByTheOthersAndNothingComesBack)
{
    fleet_simulation fleet(instances, dataCentres, serversPerDataCentre, {}, 11);
    fleet.runFor(seconds(5));
    takeOutOfService(fleet, 0);
    // 100 requests a second of 0.8 s: 80 of the 200 slots that are left.
    const traffic_result result = play(fleet, milliseconds(10), seconds(4));
    mustardtrail::testing::expectEqual(result.late, 0U);
    mustardtrail::testing::expectEqual(result.leftTheirCell, 0U);
    cr_assert_leq(result.mostAtOneServer, slots);
    const unsigned spilled = result.spilledTo.at(1) + result.spilledTo.at(2);
    cr_assert_geq(4 * result.spilledTo.at(1), spilled);
    cr_assert_geq(4 * result.spilledTo.at(2), spilled);
}

Test(spilled_work, noServerGetsMoreThanItsSlotsWhenFewAreFree)
{
    fleet_simulation fleet(instances, dataCentres, serversPerDataCentre, {}, 12);
    fleet.runFor(seconds(5));
    takeOutOfService(fleet, 0);
    // 200 requests a second of 0.8 s: 160 of 200 slots.
    const traffic_result result = play(fleet, milliseconds(5), seconds(4));
    cr_assert_leq(result.mostAtOneServer, slots + mostQueued);
    cr_assert_leq(50 * result.late, result.sent);
}
