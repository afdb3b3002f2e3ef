#include "base/endpoint.h"

#include "testing/expect.h"

#include "testing/criterion.h"

using namespace mustardtrail;

Test(endpoint, readsBackWhatItWrites)
{
    for (const char *text : { "127.0.0.1:8080", "[::1]:9" }) {
        const auto parsed = endpointFromString(text);
        cr_assert(parsed.has_value());
        testing::expectEqual(toString(*parsed), text);
    }
}

Test(endpoint, refusesHostNamesAndBadPorts)
{
    for (const char *text : { "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", ":80" }) {
        cr_assert_not(endpointFromString(text).has_value(), "%s", text);
    }
}
