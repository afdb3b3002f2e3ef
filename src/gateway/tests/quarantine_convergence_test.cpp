// Instances that were cut off when a part was released held it back until its trial.

#include "gateway/prompt_quarantine.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

#include <algorithm>
#include <array>
#include <random>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr prompt_part sound = 2;
constexpr server_start_key serverCount = 3;
constexpr milliseconds reportInterval{ 250 };

/// Instances that report to each other; reports may be lost, late and in any order.
class quarantine_fleet
{
public:
    static constexpr size_t informed = 0; ///< Hears that the servers run.
    static constexpr size_t cutOff = 1; ///< Hears of the crashes and nothing later until it is in touch again.
    static constexpr size_t startedLater = 2;
    static constexpr size_t size = 3;

    quarantine_fleet(unsigned seed, double lossShare, milliseconds maxDelay)
        : m_random(seed)
        , m_lossShare(lossShare)
        , m_maxDelay(maxDelay)
    {
    }

    prompt_quarantine &at(size_t instance)
    {
        return m_instances.at(instance);
    }

    time_point now() const
    {
        return m_now;
    }

    void wait(milliseconds time)
    {
        m_now += time;
        for (prompt_quarantine &each : m_instances) {
            each.expire(m_now);
        }
    }

    void tell(size_t from, size_t to)
    {
        at(to).merge(at(from).news(prompt_quarantine::newsMaxAge, m_now), m_now);
    }

    /// All instances report to all others for that time.
    void runInTouch(milliseconds time)
    {
        const time_point end = m_now + time;
        while (m_now < end) {
            for (size_t from = 0; from < size; ++from) {
                for (size_t to = 0; to < size; ++to) {
                    send(from, to);
                }
            }
            wait(reportInterval);
            deliver();
        }
    }

    unsigned holdingBack(prompt_part part) const
    {
        return static_cast<unsigned>(std::count_if(m_instances.begin(), m_instances.end(), [part](const prompt_quarantine &each) {
            return each.quarantinedUntil({ part }).has_value();
        }));
    }

private:
    struct report_on_its_way {
        time_point arrivesAt{};
        size_t to = 0;
        quarantine_news news;
    };

    void send(size_t from, size_t to)
    {
        const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < m_lossShare;
        const milliseconds delay(std::uniform_int_distribution<std::int64_t>(0, m_maxDelay.count())(m_random));
        if (from != to && !isLost) {
            m_onTheirWay.push_back({ m_now + delay, to, at(from).news(prompt_quarantine::newsMaxAge, m_now) });
        }
    }

    void deliver()
    {
        std::shuffle(m_onTheirWay.begin(), m_onTheirWay.end(), m_random);
        std::erase_if(m_onTheirWay, [this](const report_on_its_way &each) {
            if (each.arrivesAt > m_now) {
                return false;
            }
            at(each.to).merge(each.news, m_now);
            return true;
        });
    }

    std::mt19937 m_random;
    double m_lossShare;
    milliseconds m_maxDelay;
    time_point m_now = gateway::testing::at(100'000);
    std::array<prompt_quarantine, size> m_instances;
    std::vector<report_on_its_way> m_onTheirWay;
};

/// One instance convicts the part and is cut off; another one learns that the servers run, and releases it.
void convictAndRelease(quarantine_fleet &fleet)
{
    for (server_start_key server = 1; server <= serverCount; ++server) {
        fleet.wait(milliseconds(100));
        fleet.at(quarantine_fleet::cutOff).recordCrash(server, { sound }, fleet.now() - milliseconds(50), fleet.now());
    }
    fleet.tell(quarantine_fleet::cutOff, quarantine_fleet::informed);
    expectEqual(fleet.holdingBack(sound), 2U);
    fleet.wait(milliseconds(200));
    for (server_start_key server = 1; server <= serverCount; ++server) {
        fleet.at(quarantine_fleet::informed).recordRunning(server, fleet.now(), fleet.now());
    }
    expectEqual(fleet.holdingBack(sound), 1U);
    fleet.wait(seconds(4));
}

} // namespace

Test(quarantine_convergence, anInstanceThatWasCutOffReleasesAPartWithinASecondOfBeingInTouch)
{
    quarantine_fleet fleet(1, 0, milliseconds(100));
    convictAndRelease(fleet);
    fleet.runInTouch(seconds(1));
    expectEqual(fleet.holdingBack(sound), 0U);
}

Test(quarantine_convergence, anInstanceThatStartedLaterReleasesAPartThatItHeardOfFromOneThatWasCutOff)
{
    quarantine_fleet fleet(2, 0, milliseconds(100));
    convictAndRelease(fleet);
    fleet.tell(quarantine_fleet::cutOff, quarantine_fleet::startedLater);
    expectEqual(fleet.holdingBack(sound), 2U);
    fleet.runInTouch(seconds(1));
    expectEqual(fleet.holdingBack(sound), 0U);
}

Test(quarantine_convergence, allReleaseAPartAlsoWhenReportsAreLostLateAndInAnyOrder)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        quarantine_fleet fleet(seed, 0.3, milliseconds(800));
        convictAndRelease(fleet);
        fleet.runInTouch(seconds(5));
        cr_assert_eq(fleet.holdingBack(sound), 0U, "seed %u", seed);
    }
}
