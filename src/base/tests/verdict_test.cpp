#include "base/error_code.h"
#include "base/verdict.h"

#include "testing/expect.h"

#include "testing/criterion.h"

using namespace mustardtrail;

Test(verdict, readsBackEveryName)
{
    for (const verdict value : { verdict::not_run, verdict::may_have_run, verdict::ran }) {
        cr_assert(verdictFromString(toString(value)) == value);
    }
    cr_assert_not(verdictFromString("maybe").has_value());
}

Test(error_code, isFourDigitsAndReadsBack)
{
    testing::expectEqual(toString(error_code::target_unreachable), "MT-4001");
    cr_assert(errorCodeFromString("MT-4001") == error_code::target_unreachable);
    cr_assert_not(errorCodeFromString("MT-40").has_value());
    cr_assert_not(errorCodeFromString("XX-4001").has_value());
}
