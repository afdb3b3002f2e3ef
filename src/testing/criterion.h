#pragma once

// Tests include this header in place of the library's own. The thread sanitizer maps the addresses
// that Criterion's process arena wants, so the sanitizer's build runs the same tests in one process.
// Tests use Test, cr_assert, cr_assert_not, cr_assert_fail and testing::expectEqual only.

#ifndef MT_THREAD_SANITIZER

#include <criterion/criterion.h>

#else

#include "testing/single_process_runner.h"

#define MT_TEST_NAME(suite, name) suite##_##name##_test
#define Test(suite, name, ...)                                                                                                             \
    static void MT_TEST_NAME(suite, name)();                                                                                               \
    static const bool suite##_##name##_registered                                                                                          \
        = mustardtrail::testing::single_process_runner::add(#suite "::" #name, MT_TEST_NAME(suite, name));                                 \
    static void MT_TEST_NAME(suite, name)()
#define cr_assert(condition, ...)                                                                                                          \
    ((condition) ? void() : mustardtrail::testing::single_process_runner::fail(__FILE__, __LINE__, #condition))
#define cr_assert_not(condition, ...) cr_assert(!(condition))
#define cr_assert_fail(...) mustardtrail::testing::single_process_runner::fail(__FILE__, __LINE__, "failed")

#endif
