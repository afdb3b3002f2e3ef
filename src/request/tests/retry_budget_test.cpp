#include "request/retry_budget.h"

#include "testing/criterion.h"

using namespace mustardtrail::request;

Test(retry_budget, limitsRetriesToAShareOfFirstAttempts)
{
    retry_budget budget({ 0.5, 2.0 });
    cr_assert(budget.trySpend());
    cr_assert(budget.trySpend());
    cr_assert_not(budget.trySpend());
    budget.onFirstAttempt();
    cr_assert_not(budget.trySpend());
    budget.onFirstAttempt();
    cr_assert(budget.trySpend());
    for (int index = 0; index < 100; ++index) {
        budget.onFirstAttempt();
    }
    cr_assert(budget.left() == 2.0);
}
