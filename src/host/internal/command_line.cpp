#include "host/command_line.h"

#include "host/exit_code.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <sstream>
#include <string_view>

namespace mustardtrail::host
{

namespace
{

constexpr std::string_view flagPrefix = "--";
constexpr std::string_view helpFlag = "--help";
constexpr std::string_view sourcesOfAbseil = "absl/flags/";

// Abseil accepts only underscores in flag names.
void useUnderscores(char *argument)
{
    const std::string_view text(argument);
    if (!text.starts_with(flagPrefix)) {
        return;
    }
    const size_t nameEnd = std::min(text.find('='), text.size());
    std::replace(argument + flagPrefix.size(), argument + nameEnd, '-', '_');
}

std::string withHyphens(std::string text)
{
    std::replace(text.begin(), text.end(), '_', '-');
    return text;
}

bool isOwnFlag(const absl::CommandLineFlag &flag)
{
    return !flag.IsRetired() && flag.Filename().find(sourcesOfAbseil) == std::string::npos;
}

} // namespace

std::vector<char *> parseCommandLine(int argc, char **argv)
{
    for (int index = 1; index < argc && std::string_view(argv[index]) != flagPrefix; ++index) {
        // Abseil prints only the flags of files that are named like the program, and exits with 1.
        if (argv[index] == helpFlag) {
            std::cout << helpText() << std::flush;
            std::exit(exit_ok);
        }
        useUnderscores(argv[index]);
    }
    return absl::ParseCommandLine(argc, argv);
}

std::string helpText()
{
    std::map<std::string, const absl::CommandLineFlag *> flags;
    for (const auto &[name, flag] : absl::GetAllFlags()) {
        if (isOwnFlag(*flag)) {
            flags.emplace(withHyphens(std::string(name)), flag);
        }
    }
    std::ostringstream text;
    text << absl::ProgramUsageMessage() << "\n\nFlags:\n";
    for (const auto &[name, flag] : flags) {
        const std::string initial = flag->DefaultValue();
        text << "  " << flagPrefix << name << "  " << flag->Help();
        text << (initial.empty() ? "" : " (default: " + initial + ")") << '\n';
    }
    return text.str();
}

} // namespace mustardtrail::host
