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

bool isRegenerating()
{
    const char *value = std::getenv("MT_REGENERATE_GOLDEN");
    return value != nullptr && std::string(value) == "1";
}

} // namespace

Test(golden, everySessionGivesTheSameTrace)
{
    int sessions = 0;
    for (const auto &entry : std::filesystem::directory_iterator(MT_REQUEST_GOLDEN)) {
        const std::string golden = readFile(entry.path());
        const std::string actual = session().run(golden);
        if (isRegenerating()) {
            std::ofstream(entry.path(), std::ios::binary) << actual;
        } else {
            mustardtrail::testing::expectEqual(actual, golden);
        }
        ++sessions;
    }
    mustardtrail::testing::expectEqual(sessions, 11);
}
