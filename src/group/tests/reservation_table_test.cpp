#include "group/reservation_table.h"
#include "group/tests/support/fleet.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::group;
using mustardtrail::group::testing::testStart;

namespace
{

const backend_server_id engine("g1");
constexpr std::chrono::milliseconds lease{ 6000 };

struct owner {
    token_count freeTokens = 1000;
    std::optional<error_code> refuses;
    reservation_table table{ {}, [this](const backend_server_id &, const group_key &) -> result<engine_memory> {
                                if (refuses) {
                                    return tl::unexpected(error{ *refuses, verdict::not_run, {}, std::nullopt });
                                }
                                return engine_memory{ freeTokens, 9 };
                            } };

    reserve_reply reserve(
        const char *group, std::uint64_t generation, token_count tokens, time_point now, std::chrono::milliseconds span = lease)
    {
        const group_key key{ group_id(group), generation };
        const reserve_request request{ key, engine, tokens, span, 1 };
        return table.reserve(request, now);
    }
    void release(const char *group, std::uint64_t generation, time_point now)
    {
        table.release({ { group_id(group), generation }, engine }, now);
    }
};

} // namespace

Test(reservation_table, grantsOnlyWhileMemoryHolds)
{
    owner item;
    cr_assert(item.reserve("a", 1, 600, testStart).fencingNumber == 9);
    const reserve_reply refused = item.reserve("b", 1, 401, testStart);
    cr_assert(refused.failure->code == error_code::group_memory_busy);
    cr_assert(refused.failure->retryAfter.has_value());
    cr_assert_not(item.reserve("b", 1, 400, testStart).failure.has_value());
    mustardtrail::testing::expectEqual(item.table.heldTokens(engine), 1000);
    mustardtrail::testing::expectEqual(item.table.heldGroups(engine), 2);
}

Test(reservation_table, repeatingRenewsAndHoldsOnce)
{
    owner item;
    item.reserve("a", 1, 600, testStart);
    item.freeTokens = 0;
    cr_assert_not(item.reserve("a", 1, 600, testStart + lease / 2).failure.has_value());
    item.table.onTick(testStart + lease);
    mustardtrail::testing::expectEqual(item.table.heldTokens(engine), 600);
    item.table.onTick(*item.table.nextWake());
    mustardtrail::testing::expectEqual(item.table.heldTokens(engine), 0);
    cr_assert_not(item.table.nextWake().has_value());
}

Test(reservation_table, lateReserveAfterReleaseDoesNotRevive)
{
    owner item;
    item.reserve("a", 1, 600, testStart);
    item.release("a", 1, testStart);
    cr_assert(item.reserve("a", 1, 600, testStart + lease).failure->code == error_code::duplicate_attempt);
    mustardtrail::testing::expectEqual(item.table.heldTokens(engine), 0);
    cr_assert_not(item.reserve("a", 2, 600, testStart + lease).failure.has_value());
    item.release("a", 1, testStart + lease);
    mustardtrail::testing::expectEqual(item.table.heldTokens(engine), 600);
    cr_assert(item.table.holds(engine, engine_group_id("a.2")));
    cr_assert_not(item.table.holds(engine, engine_group_id("a.1")));
}

Test(reservation_table, releaseBeforeItsReserveWins)
{
    owner item;
    item.release("a", 1, testStart);
    cr_assert(item.reserve("a", 1, 600, testStart).failure.has_value());
    mustardtrail::testing::expectEqual(item.table.heldTokens(engine), 0);
}

Test(reservation_table, ownerThatMayNotGrantSaysWhy)
{
    owner item;
    item.refuses = error_code::not_owner;
    cr_assert(item.reserve("a", 1, 600, testStart).failure->code == error_code::not_owner);
    mustardtrail::testing::expectEqual(item.table.heldTokens(engine), 0);
}

Test(reservation_table, leaseBeyondTheLimitIsCut)
{
    owner item;
    item.reserve("a", 1, 10, testStart, std::chrono::hours(10));
    cr_assert(*item.table.nextWake() == testStart + std::chrono::seconds(30));
}
