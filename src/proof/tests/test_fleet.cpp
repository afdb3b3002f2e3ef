#include "proof/tests/test_fleet.h"

#include "base/json_access.h"
#include "proof/fleet/expected_answer.h"

#include "testing/expect.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace mustardtrail::proof
{

std::unique_ptr<process_fleet> startedFleet(fleet_options options)
{
    options.binaries = MT_BINARIES;
    auto fleet = std::make_unique<process_fleet>(std::move(options));
    cr_assert(fleet->start(), "fleet not ready");
    return fleet;
}

void expectNoFaults(const background_load &load)
{
    for (const std::string &fault : load.faults()) {
        testing::expectEqual(fault, "");
    }
}

bool serves(process_fleet &fleet, size_t instance)
{
    const caller_answer answer = fleet.complete(fleet.instances[instance], "lookup", shortPrompt, 5);
    return answer.status == 200 && answer.isWhole && answerText(answer) == expectedAnswer(shortPrompt, 5);
}

std::int64_t counterOf(const endpoint &controlPort, const std::string &name)
{
    return json_access::numberOr(control(controlPort, "{}"), name, -1);
}

std::int64_t effectsOf(const process_fleet &fleet, const std::string &key)
{
    const boost::json::object answer = getJson(fleet.services.front().address, "/effects");
    const boost::json::array *effects = json_access::arrayAt(answer, "effects");
    for (const boost::json::value &effect : effects != nullptr ? *effects : boost::json::array()) {
        if (json_access::textOr(effect.get_object(), "key") == key) {
            return json_access::numberOr(effect.get_object(), "count", 0);
        }
    }
    return 0;
}

std::int64_t requestsIn(const process_fleet &fleet, const std::string &dataCentre)
{
    std::int64_t requests = 0;
    for (const fleet_backend &engine : fleet.engines) {
        requests += engine.dataCentre == dataCentre ? counterOf(engine.control, "requests") : 0;
    }
    return requests;
}

bool newestIsInForce(const process_fleet &fleet)
{
    const std::int64_t published = counterOf(fleet.platformControl, "revision");
    return std::ranges::all_of(fleet.instances, [&](const fleet_instance &instance) {
        return json_access::numberOr(getJson(instance.admin, "/dump"), "revision", -1) == published;
    });
}

bool allMemoryIsFree(const process_fleet &fleet)
{
    for (const fleet_backend &engine : fleet.engines) {
        if (engine.process->isRunning() && counterOf(engine.control, "used_tokens") != 0) {
            return false;
        }
    }
    return true;
}

} // namespace mustardtrail::proof
