#pragma once

#include "testing/criterion.h"

#include <sstream>

namespace mustardtrail::testing
{

/// Fails the running test, with both values in the message, unless they are equal.
template<typename left, typename right>
void expectEqual(const left &actual, const right &expected, const char *file = __builtin_FILE(), int line = __builtin_LINE())
{
    if (actual == expected) {
        return;
    }
    std::ostringstream message;
    message << file << ':' << line << ": got <" << actual << ">, expected <" << expected << '>';
    cr_assert_fail("%s", message.str().c_str());
}

} // namespace mustardtrail::testing
