#include "gateway/tests/quarantine_world.h"
#include "testing/expect.h"

#include <functional>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::seconds;

namespace
{

constexpr prompt_part guilty = 1;
constexpr prompt_part popular = 2;
constexpr prompt_part rare = 3;
constexpr prompt_part otherGuilty = 4;

struct step {
    std::string name;
    std::function<void(quarantine_world &)> apply;
};

/// Tries every history of the steps up to a length, and stops at the first that ends in a fault.
class history_search
{
public:
    history_search(std::vector<step> steps, std::function<std::string(const quarantine_world &)> check)
        : m_steps(std::move(steps))
        , m_check(std::move(check))
    {
    }

    /// Returns the number of histories that it tried.
    std::uint64_t run(const quarantine_world &start, unsigned length)
    {
        m_count = 0;
        extend(start, length, "");
        return m_count;
    }

private:
    void extend(const quarantine_world &world, unsigned length, const std::string &history)
    {
        for (const step &each : m_steps) {
            quarantine_world next = world;
            each.apply(next);
            ++m_count;
            const std::string path = history + each.name + "; ";
            const std::string fault = next.fault().empty() ? m_check(next) : next.fault();
            if (!fault.empty()) {
                cr_assert_fail("%s: %s", fault.c_str(), path.c_str());
            }
            if (length > 1) {
                extend(next, length - 1, path);
            }
        }
    }

    std::vector<step> m_steps;
    std::function<std::string(const quarantine_world &)> m_check;
    std::uint64_t m_count = 0;
};

std::string nameOf(const quarantine_world::part_list &parts)
{
    std::string name;
    for (const prompt_part part : parts) {
        name += " gabh"[part];
    }
    return name;
}

step requestAt(unsigned instance, const quarantine_world::part_list &parts)
{
    return { nameOf(parts) + " at " + std::to_string(instance), [=](quarantine_world &world) {
                world.request(instance, parts);
            } };
}

/// A request that runs to its end beside another one, which comes before it at the other instance; both tell of it at once.
step pairAt(unsigned instance, const quarantine_world::part_list &parts, const quarantine_world::part_list &companion)
{
    return { nameOf(parts) + " at " + std::to_string(instance) + " beside " + nameOf(companion), [=](quarantine_world &world) {
                if (!companion.empty()) {
                    world.requestAt(0, 1 - instance, companion);
                }
                world.requestAt(0, instance, parts);
                world.run(0);
                world.exchange();
                world.wait(prompt_quarantine::settleTime);
                world.exchange();
            } };
}

step runAt(unsigned server)
{
    return { "run " + std::to_string(server), [=](quarantine_world &world) {
                world.run(server);
            } };
}

const step exchange{ "exchange", [](quarantine_world &world) {
                        world.exchange();
                    } };
const step outage{ "outage", [](quarantine_world &world) {
                      world.endAllServers();
                  } };
const step sendLate{ "send", [](quarantine_world &world) {
                        world.send(0);
                    } };
const step deliver{ "deliver", [](quarantine_world &world) {
                       world.deliver(false);
                   } };
const step deliverTwice{ "deliver and keep", [](quarantine_world &world) {
                            world.deliver(true);
                        } };

std::string noCheck(const quarantine_world &)
{
    return {};
}

/// What a guilty part may do at most, as all instances know of each crash at once.
std::string guiltyIsFound(const quarantine_world &world)
{
    for (const prompt_part part : { guilty, otherGuilty }) {
        const unsigned inARow = world.unexplainedCrashesInARow(part);
        const bool mustBeFound = inARow >= prompt_quarantine::ambiguousCrashesRequired
            || (inARow >= prompt_quarantine::crashesRequired && !world.hasCompanion(part));
        for (unsigned instance = 0; instance < 2; ++instance) {
            if (mustBeFound && !world.isQuarantined(instance, part)) {
                return "instance " + std::to_string(instance) + " has not found part " + std::to_string(part) + " after "
                    + std::to_string(inARow) + " crashes";
            }
        }
    }
    return {};
}

step waitFor(seconds time)
{
    return { "wait " + std::to_string(time.count()) + " s", [=](quarantine_world &world) {
                world.wait(time);
            } };
}

quarantine_world worldWithConvictedPart()
{
    quarantine_world world(2, { guilty }, quarantine_world::news_loss::some);
    for (int count = 0; count < 3; ++count) {
        world.request(0, { guilty });
        world.run(0);
        world.exchange();
    }
    cr_assert(world.isQuarantined(0, guilty));
    cr_assert(world.isQuarantined(1, guilty));
    return world;
}

} // namespace

Test(prompt_quarantine_search, noSoundPartIsConvictedInAnySmallHistory)
{
    history_search search(
        { requestAt(0, { guilty, popular }), requestAt(1, { popular }), requestAt(1, { guilty }), runAt(0), runAt(1), exchange, outage },
        noCheck);
    expectEqual(search.run(quarantine_world(2, { guilty }), 7), 960'799U);
}

Test(prompt_quarantine_search, newsThatComesAgainOrInAnotherOrderConvictsNoSoundPart)
{
    history_search search({ pairAt(0, { guilty, popular }, {}),
                              pairAt(1, { popular, guilty }, { popular }),
                              pairAt(1, { popular }, {}),
                              sendLate,
                              deliver,
                              deliverTwice },
        noCheck);
    expectEqual(search.run(quarantine_world(3, { guilty }), 7), 335'922U);
}

Test(prompt_quarantine_search, everyGuiltyPartIsFoundInTime)
{
    history_search search({ pairAt(0, { guilty }, {}),
                              pairAt(1, { guilty, popular }, { popular }),
                              pairAt(0, { guilty, rare }, {}),
                              pairAt(1, { popular }, { rare }),
                              pairAt(1, { otherGuilty, popular }, {}),
                              pairAt(0, { rare, guilty }, { otherGuilty }) },
        guiltyIsFound);
    expectEqual(search.run(quarantine_world(3, { guilty, otherGuilty }), 7), 335'922U);
}

Test(prompt_quarantine_search, outagesOfAllServersConvictNoPart)
{
    history_search search({ requestAt(0, { popular }),
                              requestAt(1, { popular, rare }),
                              requestAt(1, { rare }),
                              runAt(0),
                              exchange,
                              outage,
                              sendLate,
                              deliver },
        noCheck);
    expectEqual(search.run(quarantine_world(4, {}), 7), 2'396'744U);
}

Test(prompt_quarantine_search, oneTrialInTheFleetAfterEachDelay)
{
    quarantine_world world = worldWithConvictedPart();
    history_search search({ requestAt(0, { guilty }),
                              requestAt(1, { guilty }),
                              requestAt(0, { guilty, popular }),
                              runAt(0),
                              exchange,
                              waitFor(seconds(4)),
                              waitFor(seconds(11)) },
        noCheck);
    expectEqual(search.run(world, 7), 960'799U);
}

Test(prompt_quarantine_search, aReleasedPartStaysReleased)
{
    quarantine_world world = worldWithConvictedPart();
    world.heal(guilty);
    history_search search(
        { requestAt(0, { guilty }), requestAt(1, { guilty }), runAt(0), exchange, waitFor(seconds(3)), waitFor(seconds(31)) }, noCheck);
    expectEqual(search.run(world, 7), 335'922U);
}
