#include "request/tests/session.h"

#include "testing/expect.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace mustardtrail::request::testing;

namespace
{

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream in(path, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(in), {});
}

/// Compares the golden file with what its script gives now; MT_REGENERATE_GOLDEN=1 rewrites it.
void expectGolden(const std::string &name)
{
    const std::filesystem::path path = std::filesystem::path(MT_REQUEST_GOLDEN) / (name + ".txt");
    const std::string golden = readFile(path);
    cr_assert_not(golden.empty());
    const std::string actual = session().run(golden);
    const char *regenerate = std::getenv("MT_REGENERATE_GOLDEN");
    if (regenerate != nullptr && std::string(regenerate) == "1") {
        std::ofstream(path, std::ios::binary) << actual;
        return;
    }
    mustardtrail::testing::expectEqual(actual, golden);
}

} // namespace

Test(golden, wholeAnswer)
{
    expectGolden("whole_answer");
}

Test(golden, engineDies)
{
    expectGolden("engine_dies");
}

Test(golden, deadlines)
{
    expectGolden("deadlines");
}

Test(golden, callerGone)
{
    expectGolden("caller_gone");
}

Test(golden, notRepeatable)
{
    expectGolden("not_repeatable");
}

Test(golden, duplicateKeys)
{
    expectGolden("duplicate_keys");
}

Test(golden, homeDies)
{
    expectGolden("home_dies");
}

Test(golden, plannedStop)
{
    expectGolden("planned_stop");
}

Test(golden, backendAttempt)
{
    expectGolden("backend_attempt");
}
