#include "proof/fleet/managed_process.h"

#include "testing/expect.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <sys/stat.h>

using namespace mustardtrail::proof;

namespace
{

constexpr std::chrono::milliseconds signalTime{ 200 }; ///< In which a signal ends a process that does not handle it.

/// Holds a starting gateway where it opens one of its files, a named pipe here, and sends it a reload there.
class held_start
{
public:
    explicit held_start(const std::string &heldFile)
        : m_pipe(m_folder + "/" + heldFile)
    {
        std::filesystem::create_directories(m_folder);
        cr_assert_eq(::mkfifo(m_pipe.c_str(), S_IRUSR | S_IWUSR), 0);
    }

    ~held_start()
    {
        std::filesystem::remove_all(m_folder);
    }

    const std::string &folder() const
    {
        return m_folder;
    }

    bool survivesReload() const
    {
        managed_process gateway(std::string(MT_BINARIES) + "/mustardtrail-gateway", m_folder + "/settings", m_folder + "/log");
        // Opens only when the gateway has begun to read the file.
        const std::ofstream held(m_pipe);
        gateway.signal(SIGHUP);
        std::this_thread::sleep_for(signalTime);
        const bool isRunning = gateway.isRunning();
        gateway.kill();
        return isRunning;
    }

private:
    const std::string m_folder = std::filesystem::temp_directory_path() / ("gateway-start-" + std::to_string(::getpid()));
    const std::string m_pipe;
};

} // namespace

// Soak seeds 223 and 241: a reload that came while an instance started ended it.
Test(gateway_start, aReloadWhileTheSettingsAreReadDoesNotEndTheProcess, .timeout = 60)
{
    const held_start start("settings");
    cr_assert(start.survivesReload());
}

// Soak seed 302: on a busy machine the libraries are being linked for tens of milliseconds.
Test(gateway_start, aReloadWhileTheLibrariesAreLinkedDoesNotEndTheProcess, .timeout = 60)
{
    const held_start start("libstdc++.so.6");
    ::setenv("LD_LIBRARY_PATH", start.folder().c_str(), 1);
    cr_assert(start.survivesReload());
}
