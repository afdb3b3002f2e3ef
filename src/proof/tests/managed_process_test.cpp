#include "proof/fleet/managed_process.h"

#include "testing/expect.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <vector>

using namespace mustardtrail::proof;
using mustardtrail::testing::expectEqual;

Test(managed_process, seesTheEndOfSeveralChildrenThatEndTogether)
{
    const auto folder = std::filesystem::temp_directory_path() / "mustardtrail-managed-process";
    std::filesystem::create_directories(folder);
    std::vector<managed_process> children;
    for (int index = 0; index < 6; ++index) {
        const std::string port = std::to_string(9'200 + 2 * index);
        const std::string control = std::to_string(9'201 + 2 * index);
        const std::string settings = (folder / (port + ".ini")).string();
        std::ofstream(settings) << "[service]\nlisten = 127.0.0.1:" << port << "\ncontrol = 127.0.0.1:" << control << "\n";
        children.emplace_back(std::string(MT_BINARIES) + "/standin-service", settings, (folder / (port + ".log")).string());
    }
    for (managed_process &child : children) {
        child.kill();
    }
    for (managed_process &child : children) {
        cr_assert_not(child.isRunning());
        cr_assert(child.wait(5) != -1);
    }
    std::filesystem::remove_all(folder);
}
