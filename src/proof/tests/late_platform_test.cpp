#include "proof/fleet/process_fleet.h"

#include "testing/expect.h"

#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

using namespace mustardtrail::proof;
namespace files = std::filesystem;

namespace
{

/// Folder of the programs in which the platform starts this much later.
files::path binariesWithPlatformDelayed(const std::string &seconds)
{
    const files::path folder = files::temp_directory_path() / ("mustardtrail-late-platform-" + std::to_string(::getpid()));
    files::create_directories(folder);
    for (const files::directory_entry &program : files::directory_iterator(MT_BINARIES)) {
        files::create_symlink(program.path(), folder / program.path().filename());
    }
    const files::path platform = folder / "standin-platform";
    files::remove(platform);
    std::ofstream(platform) << "#!/bin/sh\nsleep " << seconds << "\nexec " << MT_BINARIES << "/standin-platform \"$@\"\n";
    files::permissions(platform, files::perms::owner_all);
    return folder;
}

} // namespace

// All that was published in the first moment was lost when the platform took more than 0.2 s to start.
Test(late_platform, fleetBecomesReady, .timeout = 60)
{
    const files::path binaries = binariesWithPlatformDelayed("0.5");
    fleet_options options;
    options.binaries = binaries.string();
    process_fleet fleet(options);
    const bool isReady = fleet.start();
    files::remove_all(binaries);
    cr_assert(isReady);
}
