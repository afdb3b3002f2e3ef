#include "proof/fleet/managed_process.h"

#include "testing/expect.h"

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace mustardtrail::proof;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr int exitOk = 0;
constexpr int exitSettings = 2;

struct program_case {
    std::string program;
    std::string settings;
};

const std::string instanceKeys = "[instance]\nid = e1\ndata_centre = dc1\n";

const std::vector<program_case> programs{
    { "mustardtrail-entry",
        instanceKeys
            + "[entry]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\nadmin = 127.0.0.1:3\nview = 127.0.0.1:4\n"
              "default_class = lookup\n" },
    { "mustardtrail-view", instanceKeys + "[view]\nlisten = 127.0.0.1:4\nentry_peers = 127.0.0.1:2\nplatform = 127.0.0.1:5\n" },
    { "standin-engine", "[engine]\nlisten = 127.0.0.1:6\ncontrol = 127.0.0.1:7\nmodels = pay\n" },
    { "standin-platform", "[platform]\nlisten = 127.0.0.1:5\ncontrol = 127.0.0.1:8\n" },
    { "standin-service", "[service]\nlisten = 127.0.0.1:9\ncontrol = 127.0.0.1:10\n" },
};

struct checked_settings {
    int exitCode = -1;
    std::string printed;
};

checked_settings check(const std::string &program, const std::string &settings)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "mustardtrail-settings-XXXXXX").string();
    const std::filesystem::path folder = ::mkdtemp(pattern.data());
    const std::string file = (folder / "program.ini").string();
    const std::string log = (folder / "log").string();
    std::ofstream(file) << settings;
    checked_settings checked;
    checked.exitCode = managed_process(std::string(MT_BINARIES) + "/" + program, { "--settings", file, "--check-settings" }, log).wait(20);
    std::ostringstream printed;
    printed << std::ifstream(log).rdbuf();
    checked.printed = printed.str();
    std::filesystem::remove_all(folder);
    return checked;
}

bool isRefusedWith(const program_case &program, const std::string &change, const std::string &code)
{
    const checked_settings checked = check(program.program, program.settings + change);
    return checked.exitCode == exitSettings && checked.printed.find(code) != std::string::npos;
}

} // namespace

Test(program_settings, everyProgramChecksItsSettingsAndEnds)
{
    for (const program_case &program : programs) {
        const checked_settings checked = check(program.program, program.settings);
        cr_assert(checked.exitCode == exitOk, "%s: %s", program.program.c_str(), checked.printed.c_str());
        cr_assert(checked.printed.find("settings_ok") != std::string::npos, "%s", program.program.c_str());
    }
}

Test(program_settings, everyProgramRefusesUnknownDuplicateAndMissingKeys)
{
    for (const program_case &program : programs) {
        cr_assert(isRefusedWith(program, "[other]\nkey = 1\n", "MT-1"), "%s", program.program.c_str());
        cr_assert(isRefusedWith(program, program.settings, "MT-1"), "%s", program.program.c_str());
        expectEqual(check(program.program, "").exitCode, exitSettings);
    }
}
