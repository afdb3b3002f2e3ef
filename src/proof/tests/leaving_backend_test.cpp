#include "proof/fleet/background_load.h"
#include "proof/fleet/eventually.h"
#include "proof/fleet/expected_answer.h"
#include "proof/tests/test_fleet.h"

#include "base/json_access.h"

#include "testing/expect.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <future>

using namespace mustardtrail;
using namespace mustardtrail::proof;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr int longAnswer = 150; // Tokens.

/// True when every view says whether the backend server gets new work.
bool allViewsSay(const process_fleet &fleet, const std::string &backend, bool newWork)
{
    return std::ranges::all_of(fleet.instances, [&](const fleet_instance &instance) {
        const boost::json::object dump = getJson(instance.view, "/dump");
        const boost::json::array *backends = json_access::arrayAt(dump, "backends");
        for (const boost::json::value &entry : backends != nullptr ? *backends : boost::json::array()) {
            if (json_access::textOr(entry.get_object(), "id") == backend) {
                return json_access::boolOr(entry.get_object(), "new_work", !newWork) == newWork;
            }
        }
        return false;
    });
}

} // namespace

Test(leaving_backend, getsNoNewWorkAndItsRunningStreamsFinish)
{
    fleet_options options;
    options.enginesPerDataCentre = { 2, 1, 1 };
    options.decodeTokensPerSecond = 50;
    const auto fleet = startedFleet(options);
    const fleet_backend &leaving = fleet->engines[0];
    background_load load(*fleet, { 0, 1, 2 }, 3, 10);
    cr_assert(eventually([&] {
        return load.finished() > 40;
    }));
    std::vector<std::future<caller_answer>> streams;
    for (int stream = 0; stream < 6; ++stream) {
        streams.push_back(std::async(std::launch::async, [&] {
            return fleet->complete(fleet->instances[0], "review", shortPrompt, longAnswer);
        }));
    }
    cr_assert(eventually([&] {
        return counterOf(leaving.control, "running") > 0;
    }));
    fleet->listBackend(leaving, "leaving");
    cr_assert(eventually([&] {
        return allViewsSay(*fleet, leaving.id, false);
    }));
    // Requests that an entry had sent on the view before.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const std::int64_t last = counterOf(leaving.control, "requests");
    const int before = load.finished();
    cr_assert(eventually([&] {
        return load.finished() > before + 30;
    }));
    expectEqual(counterOf(leaving.control, "requests"), last);
    for (auto &stream : streams) {
        const caller_answer answer = stream.get();
        cr_assert(answer.isWhole && answerText(answer) == expectedAnswer(shortPrompt, longAnswer));
    }
    fleet->listBackend(leaving, "live");
    cr_assert(eventually([&] {
        return counterOf(leaving.control, "requests") > last;
    }));
    load.stop();
    expectNoFaults(load);
}
