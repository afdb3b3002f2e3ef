#include "host/command_line.h"

#include <absl/flags/parse.h>

#include <algorithm>
#include <string_view>

namespace mustardtrail::host
{

namespace
{

constexpr std::string_view flagPrefix = "--";

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

} // namespace

std::vector<char *> parseCommandLine(int argc, char **argv)
{
    for (int index = 1; index < argc && std::string_view(argv[index]) != flagPrefix; ++index) {
        useUnderscores(argv[index]);
    }
    return absl::ParseCommandLine(argc, argv);
}

} // namespace mustardtrail::host
