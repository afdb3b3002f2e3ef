#include "gateway/caller_limits.h"

#include "testing/expect.h"

using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;

Test(caller_limits, holdAsPublishedUpToOurOwn)
{
    caller_limits limits;
    cr_assert(limits.apply({ 5'000, 6'000, {} }, 3));
    expectEqual(toString(limits), "header_bytes=5000 body_bytes=6000");
    expectEqual(limits.version, 3U);
    cr_assert_not(limits.apply({ 5'000, 6'000, {} }, 4));
    expectEqual(limits.version, 4U);
    limits.apply({ 1'000'000'000, 1'000'000'000, {} }, 4);
    expectEqual(limits.headerBytes, caller_limits::maxHeaderBytes);
    expectEqual(limits.bodyBytes, caller_limits::maxBodyBytes);
}

Test(caller_limits, thatAreNotNamedSoundlyStayAsTheyWere)
{
    caller_limits limits;
    limits.apply({}, 3);
    expectEqual(limits.bodyBytes, caller_limits::maxBodyBytes);
    limits.apply({ 5'000, 6'000, {} }, 4);
    limits.apply({ std::nullopt, 7'000, {} }, 5);
    expectEqual(limits.headerBytes, 5'000U);
    expectEqual(limits.bodyBytes, 7'000U);
    expectEqual(limits.version, 5U);
}
