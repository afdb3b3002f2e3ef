#include "group/tests/support/group_world.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::group;
using mustardtrail::group::testing::group_world;
using mustardtrail::group::testing::numbered;
using mustardtrail::group::testing::world_options;

namespace
{

constexpr std::uint64_t quietSchedules = 1000;
constexpr std::uint64_t faultySchedules = 3000;
constexpr std::chrono::seconds submitSpan{ 4 };
constexpr std::chrono::seconds deadline{ 40 };
constexpr std::chrono::seconds settled{ 130 };

using adjust_hook = std::function<void(world_options &)>;

std::chrono::milliseconds within(random_source &random, std::chrono::milliseconds span)
{
    return std::chrono::milliseconds(random.below(static_cast<std::uint64_t>(span.count())));
}

world_options optionsOf(std::uint64_t seed, random_source &random)
{
    world_options options;
    options.seed = seed;
    options.entries = 2 + static_cast<int>(random.below(2));
    options.engines = 3 + static_cast<int>(random.below(3));
    options.spread = std::chrono::milliseconds(random.below(20));
    options.staleFreePercent = static_cast<int>(random.below(60));
    return options;
}

void submitSome(group_world &world, random_source &random, const world_options &options)
{
    const auto attempts = 2 + random.below(2);
    for (std::uint64_t number = 0; number < attempts; ++number) {
        const std::string entry = numbered("e", 1 + random.below(static_cast<std::uint64_t>(options.entries)));
        const token_count prompt = 2100 + static_cast<token_count>(random.below(700));
        const bool repeatable = random.below(2) == 0;
        world.at(within(random, submitSpan), [&world, number, entry, prompt, repeatable] {
            world.submit(numbered("a", number), entry, prompt, deadline, repeatable);
        });
    }
}

void addFault(group_world &world, random_source &random, const world_options &options)
{
    const std::string entry = numbered("e", 1 + random.below(static_cast<std::uint64_t>(options.entries)));
    const std::string engine = numbered("g", 1 + random.below(static_cast<std::uint64_t>(options.engines)));
    const std::string attempt = numbered("a", random.below(2));
    const auto span = within(random, std::chrono::seconds(9));
    const auto kind = random.below(6);
    world.at(submitSpan + within(random, std::chrono::seconds(8)), [&world, kind, entry, engine, attempt, span] {
        switch (kind) {
        case 0:
            return world.killEntry(entry);
        case 1:
            return world.restartEngine(engine);
        case 2:
            return world.moveOwner(engine, entry);
        case 3:
            return world.pauseEntry(entry, span);
        case 4:
            return world.loseView(entry, span);
        default:
            return world.cancel(attempt);
        }
    });
}

/// No fault and no loss: every attempt finishes, and memory is free as soon as the last has.
std::string quietSchedule(std::uint64_t seed, const adjust_hook &adjust = {})
{
    random_source random(seed);
    world_options options = optionsOf(seed, random);
    if (adjust) {
        adjust(options);
    }
    group_world world(options);
    submitSome(world, random, options);
    std::string late;
    world.at(submitSpan + deadline, [&] {
        late = world.heldTokens() == 0 ? "" : "memory held after the last attempt; ";
    });
    world.run(settled);
    return late + world.violations(true);
}

std::string faultySchedule(std::uint64_t seed, const adjust_hook &adjust = {})
{
    random_source random(seed);
    world_options options = optionsOf(seed, random);
    options.lossPercent = static_cast<int>(random.below(4));
    options.duplicatePercent = static_cast<int>(random.below(30));
    if (adjust) {
        adjust(options);
    }
    group_world world(options);
    submitSome(world, random, options);
    for (std::uint64_t faults = 1 + random.below(4); faults > 0; --faults) {
        addFault(world, random, options);
    }
    world.run(settled);
    return world.violations(false);
}

/// Breaches among the first schedules with a mechanism switched off.
int noticed(std::string (*schedule)(std::uint64_t, const adjust_hook &), const adjust_hook &adjust, std::uint64_t schedules = 200)
{
    int breaches = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        breaches += schedule(seed, adjust).empty() ? 0 : 1;
    }
    return breaches;
}

} // namespace

Test(random_session, quietSchedulesFinishEveryAttempt)
{
    for (std::uint64_t seed = 1; seed <= quietSchedules; ++seed) {
        mustardtrail::testing::expectEqual(numbered(quietSchedule(seed), seed), numbered("", seed));
    }
}

Test(random_session, faultySchedulesHoldNothingForGood)
{
    for (std::uint64_t seed = 1; seed <= faultySchedules; ++seed) {
        mustardtrail::testing::expectEqual(numbered(faultySchedule(seed), seed), numbered("", seed));
    }
}

// Each mechanism in turn is switched off: the same schedules must then show a breach.

Test(random_session, noticesHoldingWhileWaiting)
{
    const int breaches = noticed(quietSchedule, [](world_options &options) {
        options.group.allOrNothing = false;
        options.group.reserveInOrder = false;
    });
    cr_assert(breaches > 0);
}

Test(random_session, noticesAMissingRelease)
{
    cr_assert(noticed(quietSchedule, [](world_options &options) {
        options.group.releaseOnEnd = false;
    }) > 0);
}

Test(random_session, noticesReservationsWithoutAnEnd)
{
    const int breaches = noticed(faultySchedule, [](world_options &options) {
        options.group.reservationLease = options.reservations.leaseLimit = std::chrono::hours(1);
    });
    cr_assert(breaches > 0);
}

Test(random_session, noticesMissingReconciliation)
{
    cr_assert(noticed(faultySchedule, [](world_options &options) {
        options.reconciles = false;
    }) > 0);
}

Test(random_session, noticesForgottenReleases)
{
    cr_assert(noticed(faultySchedule, [](world_options &options) {
        options.reservations.rememberReleased = false;
    }) > 0);
}

Test(random_session, noticesSendsOnAnOldView)
{
    cr_assert(noticed(faultySchedule, [](world_options &options) {
        options.checksBeforeSend = false;
    }) > 0);
}
