#include "gateway/stream_position.h"

#include "testing/expect.h"

using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;

namespace
{

stream_event eventWith(std::optional<std::uint64_t> id)
{
    return { "data: a\n\n", id, false };
}

/// Position after events with these ids of one answer, before another one begins.
stream_position positionAfter(const std::vector<std::optional<std::uint64_t>> &ids, std::optional<std::uint64_t> callersLastId = {})
{
    stream_position position(callersLastId);
    position.beginAnswer();
    for (const auto &id : ids) {
        position.recordDelivered(eventWith(id));
    }
    position.beginAnswer();
    return position;
}

} // namespace

Test(stream_position, anotherAnswerMustGoOnBehindTheLastEvent)
{
    const stream_position position = positionAfter({ 1, 2 });
    cr_assert(position.mayFollow(eventWith(3)));
    cr_assert(position.mayFollow({ ": still here\n\n", {}, true }));
    for (const auto &wrong : { eventWith(1), eventWith(2), eventWith(4), eventWith({}) }) {
        cr_assert_not(position.mayFollow(wrong));
    }
}

// The pages say that ids rise, not that they rise by one.
Test(stream_position, aGapIsKnownOnlyInAStreamWhoseIdsRiseByOne)
{
    cr_assert(positionAfter({ 10, 20 }).mayFollow(eventWith(27)));
    cr_assert(positionAfter({ 10 }).mayFollow(eventWith(20)));
    cr_assert_not(positionAfter({ 10, 20 }).mayFollow(eventWith(20)));
}

Test(stream_position, aFirstAnswerAndTheRestOfAnAnswerAreNotJudged)
{
    cr_assert(positionAfter({}, 12).mayFollow(eventWith(1)));
    stream_position position = positionAfter({ 1, 2 });
    position.recordDelivered(eventWith(3));
    cr_assert(position.mayFollow(eventWith(9)));
    cr_assert(position.mayFollow(eventWith({})));
}

Test(stream_position, keepsTheLastIdOverEventsWithoutOne)
{
    expectEqual(*positionAfter({ 3, {} }).lastId(), 3U);
    expectEqual(*positionAfter({}, 12).lastId(), 12U);
}

// Guards against events that come twice.
Test(stream_position, theCallersOwnIdIsNoPlaceToGoOnBehindEventsWithoutIds)
{
    cr_assert_not(positionAfter({ {} }, 12).lastId().has_value());
    expectEqual(*positionAfter({ {}, 14 }, 12).lastId(), 14U);
}
