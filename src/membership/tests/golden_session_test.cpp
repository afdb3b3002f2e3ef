#include "tests/fake_fleet.h"
#include "tests/session_trace.h"

#include "testing/golden_file.h"

#include <utility>

using namespace mustardtrail;
using namespace mustardtrail::membership;
using std::chrono::seconds;

namespace
{

/// Trace of a session: what every node was given and did. Events without an action leave no line.
class golden_session
{
public:
    golden_session(std::string name, const fake_fleet_settings &settings)
        : m_name(std::move(name))
        , m_fleet(settings)
    {
        m_fleet.onEvent = [this](int node, const view_event &event) {
            m_event = describe(instanceName(node), m_fleet.now(), event);
        };
        m_fleet.onAction = [this](int node, const view_action &action) {
            addLine(std::exchange(m_event, {}));
            addLine(describe(instanceName(node), m_fleet.now(), action));
        };
    }

    fake_fleet &fleet()
    {
        return m_fleet;
    }

    void step(const std::string &what)
    {
        addLine(joined({ "# ", what }));
    }

    /// Compares byte for byte; MT_REGENERATE_GOLDEN=1 writes the file instead.
    void finish() const
    {
        mustardtrail::testing::expectGolden(joined({ MT_MEMBERSHIP_GOLDEN_DIR, "/", m_name, ".txt" }), m_trace);
    }

private:
    void addLine(const std::string &line)
    {
        m_trace += line;
        m_trace += line.empty() ? "" : "\n";
    }

    std::string m_name;
    std::string m_event;
    std::string m_trace;
    fake_fleet m_fleet;
};

} // namespace

Test(golden_session, startDrainAndStop)
{
    golden_session session("start_drain_stop", { .nodes = 3, .serversPerDataCentre = 2 });
    session.step("start");
    session.fleet().run(seconds(3));
    session.step("data centre dc1 out of service");
    session.fleet().publish("data_centres", dataCentresValue(1, { 0 }));
    session.fleet().run(seconds(1));
    session.step("planned stop of e2");
    session.fleet().deliver(1, begin_stop{});
    session.fleet().run(seconds(2));
    session.finish();
}

Test(golden_session, pauseAndWake)
{
    golden_session session("pause_and_wake", { .nodes = 3, .serversPerDataCentre = 2 });
    session.fleet().run(seconds(2));
    session.step("e1 stops");
    session.fleet().pause(0);
    session.fleet().run(seconds(5));
    session.step("e1 goes on");
    session.fleet().wake(0);
    session.fleet().run(seconds(2));
    session.finish();
}

Test(golden_session, cutAndHeal)
{
    golden_session session("cut_and_heal", { .nodes = 4, .dataCentres = 2, .serversPerDataCentre = 2 });
    session.fleet().run(seconds(2));
    session.step("dc2 cut off from dc1 and the platform");
    session.fleet().isCut = [](int from, int to) {
        return from % 2 != to % 2;
    };
    session.fleet().platformIsCut = [](int node) {
        return node % 2 == 1;
    };
    session.fleet().run(seconds(1));
    session.fleet().publish("data_centres", dataCentresValue(2, { 1 }));
    session.fleet().run(seconds(4));
    session.step("healed");
    session.fleet().isCut = {};
    session.fleet().platformIsCut = {};
    session.fleet().run(seconds(3));
    session.finish();
}
