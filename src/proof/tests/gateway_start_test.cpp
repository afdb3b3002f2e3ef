#include "proof/fleet/managed_process.h"

#include "testing/expect.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <sys/stat.h>

using namespace mustardtrail::proof;

namespace
{

constexpr std::chrono::milliseconds signalTime{ 200 }; ///< In which a signal ends a process that does not handle it.

} // namespace

// Soak seeds 223 and 241: a reload that came while an instance started ended it.
Test(gateway_start, aReloadWhileTheSettingsAreReadDoesNotEndTheProcess, .timeout = 60)
{
    const std::string folder = std::filesystem::temp_directory_path() / ("gateway-start-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const std::string pipe = folder + "/settings";
    cr_assert_eq(::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR), 0);
    managed_process gateway(std::string(MT_BINARIES) + "/mustardtrail-gateway", pipe, folder + "/log");
    // Opens only when the gateway has begun to read its settings.
    const std::ofstream settings(pipe);
    gateway.signal(SIGHUP);
    std::this_thread::sleep_for(signalTime);
    const bool isRunning = gateway.isRunning();
    gateway.kill();
    std::filesystem::remove_all(folder);
    cr_assert(isRunning);
}
