#include "tests/golden_file.h"

#include "tests/sample_configuration.h"

#include <cstdlib>
#include <fstream>

#include "testing/expect.h"

namespace mustardtrail::config
{

void expectGolden(const std::string &name, const std::string &text)
{
    const std::string path = "golden/" + name;
    const char *regenerate = std::getenv("MT_REGENERATE_GOLDEN");
    if (regenerate != nullptr && std::string(regenerate) == "1") {
        std::ofstream(std::string(MT_CONFIG_TEST_DIR) + "/" + path, std::ios::binary) << text;
        return;
    }
    testing::expectEqual(text, readTestFile(path));
}

} // namespace mustardtrail::config
