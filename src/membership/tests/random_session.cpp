#include "tests/random_session.h"

#include <array>

namespace mustardtrail::membership
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds sampleStep{ 25 };
constexpr seconds healTime{ 14 };
constexpr int faults = 5;

class random_session
{
public:
    random_session(std::uint64_t seed, const std::function<void(view_settings &)> &adjust)
        : m_random(seed)
        , m_fleet(settingsFor(seed, adjust))
        , m_checker(m_fleet)
    {
        m_fleet.lossPercent = static_cast<int>(m_random.below(4));
        m_fleet.duplicatePercent = static_cast<int>(m_random.below(10));
        m_fleet.longestDelay = milliseconds(1 + m_random.below(20));
        m_fleet.onAction = [this](int, const view_action &action) {
            if (std::holds_alternative<publish_view>(action)) {
                m_checker.sample();
            }
        };
    }

    std::vector<std::string> run()
    {
        advance(seconds(4));
        for (int fault = 0; fault < faults; ++fault) {
            runFault();
        }
        m_fleet.lossPercent = 0;
        advance(healTime);
        m_checker.converged();
        return m_checker.problems();
    }

private:
    static fake_fleet_settings settingsFor(std::uint64_t seed, const std::function<void(view_settings &)> &adjust)
    {
        return { .nodes = 6, .dataCentres = 1 + static_cast<int>(seed % 3), .seed = seed, .adjust = adjust };
    }

    void advance(milliseconds length)
    {
        for (milliseconds passed{ 0 }; passed < length; passed += sampleStep) {
            m_fleet.run(sampleStep);
            m_checker.sample();
        }
    }

    int anyNode()
    {
        return static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_fleet.size())));
    }

    milliseconds anyLength(milliseconds longest)
    {
        return milliseconds(500 + m_random.below(static_cast<std::uint64_t>(longest.count())));
    }

    void runFault()
    {
        switch (m_random.below(6)) {
        case 0:
            return cut();
        case 1:
            return pause();
        case 2:
            return restart();
        case 3:
            return breakList();
        case 4:
            return breakService();
        default:
            return drain();
        }
    }

    void cut()
    {
        const int node = anyNode();
        const bool whole = m_random.below(2) == 0;
        const bool oneWay = m_random.below(3) == 0;
        const auto isOut = [this, node, whole](int other) {
            return whole ? m_fleet.dataCentreOf(other) == m_fleet.dataCentreOf(node) : other == node;
        };
        m_fleet.isCut = [isOut, oneWay](int from, int to) {
            return isOut(from) != isOut(to) && (!oneWay || isOut(from));
        };
        const milliseconds length = anyLength(seconds(8));
        toggleDrain();
        for (milliseconds passed{ 0 }; passed < length; passed += seconds(1)) {
            excuseAll();
            advance(seconds(1));
        }
        m_fleet.isCut = {};
        excuseAll();
        advance(seconds(4));
    }

    void pause()
    {
        const int node = anyNode();
        m_fleet.pause(node);
        const milliseconds length = anyLength(seconds(6));
        toggleDrain();
        advance(length);
        if (m_random.below(2) == 0) {
            m_fleet.at(node).backlog.clear(); // Sockets overflowed.
        }
        m_checker.woke(node, length);
        m_fleet.wake(node);
        advance(seconds(4));
    }

    void restart()
    {
        const int node = anyNode();
        m_fleet.kill(node);
        advance(anyLength(seconds(5)));
        m_fleet.restart(node);
        m_checker.restarted(node);
        advance(seconds(2));
    }

    void breakList()
    {
        using mode = fake_platform::mode;
        constexpr std::array<mode, 4> modes{ mode::down, mode::garbage, mode::older, mode::empty };
        m_fleet.platform.listMode = modes[m_random.below(modes.size())];
        advance(anyLength(seconds(5)));
        m_fleet.platform.listMode = mode::up;
    }

    void breakService()
    {
        using mode = fake_platform::mode;
        constexpr std::array<mode, 4> modes{ mode::down, mode::garbage, mode::older, mode::stale };
        m_fleet.platform.configMode = modes[m_random.below(modes.size())];
        advance(anyLength(seconds(5)));
        m_fleet.platform.configMode = mode::up;
        excuseAll();
        advance(seconds(1));
    }

    // The service is out of reach for a part of the nodes, never for all.
    void drain()
    {
        const auto cutOff = m_random.below(4);
        m_fleet.platformIsCut = [cutOff](int node) {
            return static_cast<std::uint64_t>(node) % 4 == cutOff;
        };
        toggleDrain();
        advance(seconds(4));
        m_fleet.platformIsCut = {};
    }

    void toggleDrain()
    {
        m_drained = !m_drained;
        m_fleet.publish("backend_servers/dc1", serversValue(0, 4, m_drained ? "g1-1" : ""));
        m_drained ? m_checker.drained("g1-1") : m_checker.restored("g1-1");
    }

    void excuseAll()
    {
        for (int node = 0; node < m_fleet.size(); ++node) {
            m_checker.excuse(node);
        }
    }

    random_source m_random;
    fake_fleet m_fleet;
    session_checker m_checker;
    bool m_drained = false;
};

} // namespace

std::vector<std::string> runRandomSession(std::uint64_t seed, const std::function<void(view_settings &)> &adjust)
{
    return random_session(seed, adjust).run();
}

} // namespace mustardtrail::membership
