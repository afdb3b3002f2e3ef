#include "placement/tests/script_runner.h"

#include "testing/expect.h"
#include "testing/golden_file.h"

#include <sstream>

using namespace mustardtrail;
using placement::tests::script_runner;

namespace
{

/// Marks input lines of a golden file; lines that begin with # are comments, all others are the expected output.
constexpr char inputMark = '>';

std::string replay(const std::string &session)
{
    script_runner runner;
    std::istringstream in(session);
    std::string trace;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with('#')) {
            trace += line + '\n';
        } else if (line.starts_with(inputMark)) {
            trace += line + '\n' + runner.run(line.substr(1));
        }
    }
    return trace;
}

void compareSession(const char *name)
{
    const std::string path = std::string(MT_PLACEMENT_TESTS_DIR) + "/golden/" + name + ".txt";
    testing::expectGolden(path, replay(testing::readFile(path)));
}

} // namespace

Test(golden, coldOverload)
{
    compareSession("cold_overload");
}

Test(golden, twoOwners)
{
    compareSession("two_owners");
}

Test(golden, suspendedOwner)
{
    compareSession("slept_owner");
}

Test(golden, unreportedCold)
{
    compareSession("silent_cold");
}

Test(golden, drainedBackend)
{
    compareSession("drained_backend");
}

Test(golden, fairness)
{
    compareSession("fairness");
}

Test(golden, deadlineRefusal)
{
    compareSession("deadline_refusal");
}

Test(golden, memory)
{
    compareSession("memory");
}

Test(golden, cacheGap)
{
    compareSession("cache_gap");
}

Test(golden, staleReport)
{
    compareSession("stale_report");
}

Test(golden, plainService)
{
    compareSession("plain_service");
}
