#include "request/tests/session.h"

#include "testing/expect.h"
#include "testing/golden_file.h"

#include <filesystem>

using mustardtrail::request::testing::session;

Test(golden, sessionsMatchGoldenTraces)
{
    int sessions = 0;
    for (const auto &entry : std::filesystem::directory_iterator(MT_REQUEST_GOLDEN)) {
        mustardtrail::testing::expectGolden(entry.path(), session().run(mustardtrail::testing::readFile(entry.path())));
        ++sessions;
    }
    mustardtrail::testing::expectEqual(sessions, 11);
}
