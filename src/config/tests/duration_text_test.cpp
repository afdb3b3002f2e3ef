#include "config/duration_text.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::config;

Test(duration_text, readsWholeNumbersWithUnits)
{
    testing::expectEqual(durationFromText("300ms")->count(), 300);
    testing::expectEqual(durationFromText("5s")->count(), 5000);
    testing::expectEqual(durationFromText("2min")->count(), 120000);
    testing::expectEqual(durationFromText("1h")->count(), 3600000);
    testing::expectEqual(*bytesFromText("2GB"), 2000000000);
}

Test(duration_text, refusesEverythingElse)
{
    for (const char *text : { "", "5", "s", "-5s", "1.5s", "5 s", "5S", "5sec", "+5s", "9223372036854775807h", "99999999999999999999s" }) {
        cr_assert_not(durationFromText(text).has_value(), "%s", text);
    }
    cr_assert_not(bytesFromText("9223372036854775807GB").has_value());
}

Test(duration_text, writesTheLargestUnitThatLosesNothing)
{
    for (const char *text : { "1ms", "1500ms", "5s", "90s", "2min", "1h", "0ms" }) {
        testing::expectEqual(durationToText(*durationFromText(text)), text);
    }
    testing::expectEqual(bytesToText(1500000), "1500kB");
}
